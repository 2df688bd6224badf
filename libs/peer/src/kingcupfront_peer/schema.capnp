@0xd3b1f5a8c2e94701;

# Messages between entry processes. Fields are only ever added, at the end, so
# that processes of different versions understand each other.

struct Envelope {
  version @0 :UInt16;       # schema version of the sender
  sender @1 :Text;          # the sender's instance name
  incarnation @2 :UInt64;   # unique to the sender's process; never 0
  number @3 :UInt64;        # an answer repeats the number of its request
  kind @4 :Text;            # the name of a message kind in the registry
  body @5 :Data;            # one of the structs below, depending on the kind
  failure @6 :Text;         # error code, in an answer to a failed request
  audience @7 :UInt64;      # incarnation that alone may accept it; 0 is any
}

struct Heartbeat {
  address @0 :Text;         # of the sender's peer listener
  place @1 :Text;
  state @2 :State;
  revision @3 :UInt64;      # of the configuration in force at the sender
  members @4 :List(Member); # a bounded sample of the sender's view
  usage @5 :List(Usage);
  counter @6 :UInt64;       # of the sender's record of itself
  digest @7 :Text;          # of the configuration in force at the sender
  probed @8 :Text;          # member to probe, or that answered a relayed probe
  answers @9 :UInt64;       # number of the probe that this acknowledges
  listing @10 :UInt64;      # index of the sender's instance list
  notices @11 :List(Notice);

  enum State {
    live @0;
    suspect @1;
    leaving @2;
    dead @3;
  }
}

struct Member {
  instance @0 :Text;
  address @1 :Text;
  place @2 :Text;
  incarnation @3 :UInt64;
  state @4 :Heartbeat.State;
  counter @5 :UInt64;       # raised by the member to refute a suspicion
}

struct Usage {
  team @0 :Text;
  concurrent @1 :UInt32;    # requests in flight at the sender
  tokensPerSecond @2 :Float32;
}

struct Notice {             # event that entries forward to one another
  id @0 :UInt64;            # the same at every entry that it reaches
  topic @1 :Text;           # name of a registered topic
  body @2 :Data;
  place @3 :Text;           # data centre of the entry that broadcast it
}

struct SetRequest {
  above @0 :UInt64;         # send the set only if its revision is higher
  digest @1 :Text;          # of the set in force at the requester
}

struct SetAnswer {
  revision @0 :UInt64;
  data @1 :Data;            # the published set; empty if no higher revision
  digest @2 :Text;
  encoding @3 :Text;        # name of a registered encoding
}

struct Proposal {           # configuration that a watcher will put in force
  revision @0 :UInt64;
  digest @1 :Text;
  basedOn @2 :UInt64;
  ancestors @3 :List(Ancestor);
  inForce @4 :Bool;
}

struct Ancestor {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct ProposalAnswer {
  inForce @0 :Proposal;     # revision 0 if no set is in force yet
  candidate @1 :Proposal;   # revision 0 if there is none
  refused @2 :Refused;      # revision 0 if nothing was refused
}

struct Refused {            # publication that will not come into force
  revision @0 :UInt64;
  digest @1 :Text;
  reason @2 :Text;
}

struct Leaving {            # notice that a target takes no new requests
  target @0 :Text;
  source @1 :Text;          # what the notice is based on: list or report
  number @2 :UInt64;        # index of the list or number of the report
}

struct ListRequest {
  above @0 :UInt64;         # send the list only if its index differs
}

struct ListAnswer {
  index @0 :UInt64;
  rows @1 :Data;            # compressed JSON; empty if the index is the same
}

struct Forward {            # request to run; the receiver owns its key
  key @0 :Text;
  team @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  timeoutSeconds @7 :Float64;
  handedOver @8 :Bool;      # the receiver must not forward it again
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardAnswer {
  outcome @0 :Text;         # value of kingcupfront_core.outcomes.Outcome
  status @1 :UInt16;        # 0 if the target gave no answer
  headers @2 :List(Header);
  body @3 :Data;
  code @4 :Text;            # error code, if the target gave no answer
  reason @5 :Text;
  replayed @6 :Bool;        # stored result of an earlier request
  bodyDropped @7 :Bool;     # the body was too large to store
}

struct Claim {              # request to refuse a caller's key to other entries
  key @0 :Text;
  team @1 :Text;
  notBefore @2 :Float64;    # wall-clock second of the key's first possible use
  holder @3 :Text;          # the requester: INSTANCE/INCARNATION@ADDRESS
}

struct ClaimAnswer {
  granted @0 :Bool;
  startedAt @1 :Float64;    # wall-clock second at which the answerer started
  holder @2 :Text;          # the current holder, if not granted
  members @3 :List(Text);   # INSTANCE@ADDRESS of entries it has seen listed
}

struct Drain {              # request to hold back new requests to a target
  target @0 :Text;
  seconds @1 :Float64;
}

struct DrainAnswer {
  outstanding @0 :UInt32;   # requests of the answering entry in flight there
}

struct Join {               # announcement of a gateway
  address @0 :Text;         # of its peer listener
  place @1 :Text;           # its data centre
}

struct Joined {
  addresses @0 :List(Text); # of gateways in that data centre
  contacts @1 :List(Join);  # some gateways of each other data centre
}

struct DirectoryAsk {
  address @0 :Text;         # of the requester's peer listener
  place @1 :Text;
  revision @2 :UInt64;      # asks for later changes; 0 asks for all entries
  waitMilliseconds @3 :UInt32;
  blockedDigest @4 :UInt64; # of the parts of prompts that the sender blocks
  era @5 :UInt64;           # of the directory, to which the revision belongs
  readsEras @6 :Bool;       # the requester reads the era of the answer
}

struct DirectoryAnswer {
  revision @0 :UInt64;
  isWhole @1 :Bool;         # the entries are the whole directory
  entries @2 :List(DirectoryEntry);
  # Time from the call to the directory that confirmed this answer to the
  # arrival of the request; negative if the call was made later.
  ageMilliseconds @3 :Int64;
  # How long the directory has been reachable without interruption.
  steadyMilliseconds @4 :UInt64;
  addresses @5 :List(Text); # of gateways in the requester's data centre
  blockedDigest @6 :UInt64; # of the parts of prompts that the sender blocks
  era @7 :UInt64;           # of the directory, to which the revisions belong
}

struct DirectoryEntry {
  key @0 :Text;
  revision @1 :UInt64;
  isDeleted @2 :Bool;
  value @3 :Data;
}

struct CrashEvidence {      # what a gateway knows of crashes of engines
  address @0 :Text;         # of the sender's peer listener
  place @1 :Text;           # its data centre
  parts @2 :List(SuspectPart);
  digestParts @3 :List(SuspectPart); # those named by digests of long ids
}

struct SuspectPart {        # part of a prompt
  id @0 :Text;
  depth @1 :UInt8;          # its position in the prompt
  isProven @2 :Bool;        # an engine has written an answer on it
  marks @3 :List(CrashMark);
  wasBlocked @4 :Bool;      # an instance has blocked it
}

struct CrashMark {          # crash of an engine that was about to write on it
  crash @0 :Text;           # name of that start of the engine, or of a trial
  ageMilliseconds @1 :UInt64;
  sentAgeMilliseconds @2 :UInt64; # age of the request
  isCleared @3 :Bool;       # an answer was written on the part afterwards
}

struct StreamOrigins {      # which software versions began some streams
  isForwarded @0 :Bool;     # to pass on to the holders of the data centre
  origins @1 :List(StreamOrigin);
}

struct StreamOrigin {
  id @0 :Text;              # of the request that brought the first event
  version @1 :Text;         # empty if the version is not known
  start @2 :Text;           # start of the target that wrote the first event
}

struct StreamOriginAsk {    # question how a stream began
  isForwarded @0 :Bool;     # to pass on to the holders of the data centre
  id @1 :Text;              # empty if the caller does not name the request
  services @2 :List(Text);  # that may have begun it
  windowMilliseconds @3 :UInt64; # for how long a version must have been alone
}

struct StreamOriginAnswer {
  isKnown @0 :Bool;         # whether the stream is known
  version @1 :Text;         # empty if the version is not known
  soleVersion @2 :Text;     # that has served alone for so long, or empty
  isComplete @3 :Bool;      # whether all that were asked have answered
  isMixed @4 :Bool;         # whether there were several versions for so long
  start @5 :Text;           # start of the target that wrote the first event
}
