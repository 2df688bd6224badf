"""Makes the process cooperative; imported before anything that blocks."""

import os

os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
# libev's mask for the epoll backend; it keeps io_uring out.
os.environ.setdefault('LIBEV_FLAGS', '4')

from gevent import monkey

monkey.patch_all()
