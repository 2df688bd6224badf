@0xd3b1f5a8c2e94701;

# Messages between entry processes. Fields are only ever added, at the end.

struct Envelope {
  version @0 :UInt16;       # version of this schema that the sender speaks
  sender @1 :Text;          # the sender's instance name
  incarnation @2 :UInt64;   # random for each process; never 0
  number @3 :UInt64;        # answers carry the number of their request
  kind @4 :Text;            # the name of a message kind in the registry
  body @5 :Data;            # one of the structs below, by kind
  failure @6 :Text;         # code of the error, in an answer that failed
  audience @7 :UInt64;      # incarnation of the receiver; 0 if not known
}

struct Heartbeat {
  address @0 :Text;         # where the sender's peer listener is
  place @1 :Text;
  state @2 :State;
  revision @3 :UInt64;      # configuration in force at the sender
  members @4 :List(Member); # a bounded sample of the sender's view
  usage @5 :List(Usage);
  counter @6 :UInt64;       # of the sender's newest statement about itself
  digest @7 :Text;          # of the set in force at the sender
  probed @8 :Text;          # whom to probe for the sender, if anyone
  answers @9 :UInt64;       # number of the probe that this acknowledges
  listing @10 :UInt64;      # index of the instance list at the sender
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
  counter @5 :UInt64;       # grows with each statement about this member
}

struct Usage {
  team @0 :Text;
  concurrent @1 :UInt32;    # requests in progress at the sender
  tokensPerSecond @2 :Float32;
}

struct Notice {             # news that is passed on from entry to entry
  id @0 :UInt64;            # the same wherever it arrives
  topic @1 :Text;           # a name in the registry of topics
  body @2 :Data;
  place @3 :Text;           # where it was first seen
}

struct SetRequest {
  above @0 :UInt64;         # answer only with a higher revision
  digest @1 :Text;          # of the set that the asker holds
}

struct SetAnswer {
  revision @0 :UInt64;
  data @1 :Data;            # the published set; empty if none is higher
  digest @2 :Text;
  encoding @3 :Text;        # a name in the registry of encodings
}

struct Proposal {           # what a watcher is about to put in force
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
  inForce @0 :Proposal;     # revision 0 before the first set
  candidate @1 :Proposal;   # revision 0 if there is none
  refused @2 :Refused;      # revision 0 if nothing was refused
}

struct Refused {            # a publication that will not come into force
  revision @0 :UInt64;
  digest @1 :Text;
  reason @2 :Text;
}

struct Leaving {            # a target that wants no new work
  target @0 :Text;
  source @1 :Text;          # whose sign it is: list or report
  number @2 :UInt64;        # grows with what that source says
}

struct ListRequest {
  above @0 :UInt64;         # answer only with another index
}

struct ListAnswer {
  index @0 :UInt64;
  rows @1 :Data;            # compressed JSON; empty if nothing is newer
}

struct Forward {            # run a request under a key that the receiver owns
  key @0 :Text;
  team @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  timeoutSeconds @7 :Float64;
  handedOver @8 :Bool;      # the receiver must not hand it on again
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardAnswer {
  outcome @0 :Text;         # a value of kingcupfront_core.outcomes.Outcome
  status @1 :UInt16;        # 0 if the target gave no answer
  headers @2 :List(Header);
  body @3 :Data;
  code @4 :Text;            # code of the failure, if the target gave no answer
  reason @5 :Text;
  replayed @6 :Bool;        # the remembered result of an earlier request
  bodyDropped @7 :Bool;     # the body was too large to remember
}

struct Claim {              # promise to refuse a caller's key to all others
  key @0 :Text;
  team @1 :Text;
  notBefore @2 :Float64;    # wall second at which the key may first be used
  holder @3 :Text;          # who asks: INSTANCE/INCARNATION@ADDRESS
}

struct ClaimAnswer {
  granted @0 :Bool;
  startedAt @1 :Float64;    # wall second at which the answerer started
  holder @2 :Text;          # who holds it, if not granted
  members @3 :List(Text);   # INSTANCE@ADDRESS of all that it has seen listed
}

struct Drain {              # give a target no new work for a while
  target @0 :Text;
  seconds @1 :Float64;
}

struct DrainAnswer {
  outstanding @0 :UInt32;   # own requests in progress on it
}

struct Join {               # a gateway makes itself known
  address @0 :Text;         # where it listens for peers
  place @1 :Text;           # its data centre
}

struct Joined {
  addresses @0 :List(Text); # gateways of that data centre
}

struct DirectoryAsk {
  address @0 :Text;         # where the asker listens for peers
  place @1 :Text;
  revision @2 :UInt64;      # changes after this one; 0 asks for everything
  waitMilliseconds @3 :UInt32;
}

struct DirectoryAnswer {
  revision @0 :UInt64;
  isWhole @1 :Bool;         # the entries are all that there is
  entries @2 :List(DirectoryEntry);
  # Between the call to the directory that confirmed this and the arrival of
  # the ask; negative if the call came later.
  ageMilliseconds @3 :Int64;
  # Since when the directory has been in reach without a break.
  steadyMilliseconds @4 :UInt64;
  addresses @5 :List(Text); # gateways of the asker's data centre
}

struct DirectoryEntry {
  key @0 :Text;
  revision @1 :UInt64;
  isDeleted @2 :Bool;
  value @3 :Data;
}
