# Installs what an entry needs below target/ and compiles it once.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
  rm -rf target
  mkdir -p "$deps"
  python3 -m pip install -q --no-input --target "$deps" \
    -r deploy/requirements.txt
  cp deploy/requirements.txt target/requirements.txt
fi
for library in libs/core libs/peer libs/decisions libs/gateway platform; do
  cp -R "$library"/src/* "$deps"/
done
cp deploy/start.py target/start.py
python3 -m compileall -q "$deps" target/start.py
