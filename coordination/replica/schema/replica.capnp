# What replicas say to each other. The Rust code for this schema is src/replica_capnp.rs.
@0xd3f1a8f05f7c2b61;

struct Endpoint {
  union {
    v4 @0 :Data;
    v6 @1 :Data;
  }
  port @2 :UInt16;
}

struct Voter {
  member @0 :UInt16;
  birth @1 :UInt64;
}

struct Ballot {
  epoch @0 :UInt64;
  round @1 :UInt64;
  member @2 :UInt16;
  start @3 :UInt64;
}

struct Member {
  voter @0 :Voter;
  endpoint @1 :Endpoint;
  zone @2 :Text;
  region @3 :Text;
}

struct ChainLink {
  voter @0 :Voter;
  since @1 :UInt64;
}

struct View {
  number @0 :UInt64;
  members @1 :List(Member);
  boards @2 :List(List(Voter));
  chain @3 :List(ChainLink);
  nextMember @4 :UInt16;
  # Chains of the views before, oldest first.
  former @5 :List(List(ChainLink));
}

struct Decided {
  ballot @0 :Ballot;
  view @1 :View;
}

struct Report {
  complete @0 :UInt64;
  committed @1 :UInt64;
}

struct Heard {
  endpoint @0 :Endpoint;
  start @1 :UInt64;
  sentAt @2 :UInt64;
}

struct Heartbeat {
  birth @0 :UInt64;
  start @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  view @4 :UInt64;
  report @5 :Report;
  heard @6 :List(Heard);
  isSealed @7 :Bool;
  isStalled @8 :Bool;
  isLeaving @9 :Bool;
  sentAt @10 :UInt64;
  # The version of this protocol that the sender speaks; 0 is that of releases without this field.
  protocol @11 :UInt16;
}

struct Prepare {
  voter @0 :Voter;
  ballot @1 :Ballot;
  known @2 :UInt64;
}

struct Promise {
  voter @0 :Voter;
  ballot @1 :Ballot;
  # Null if nothing was accepted.
  accepted @2 :Decided;
  report @3 :Report;
}

struct Accept {
  voter @0 :Voter;
  ballot @1 :Ballot;
  view @2 :View;
}

struct Accepted {
  voter @0 :Voter;
  ballot @1 :Ballot;
}

struct Rejected {
  ballot @0 :Ballot;
  promised @1 :Ballot;
}

# The durable state of a voter is lost: another incarnation answers at its endpoint.
struct VoterLost {
  voter @0 :Voter;
  ballot @1 :Ballot;
}

struct Origin {
  endpoint @0 :Endpoint;
  start @1 :UInt64;
  ticket @2 :UInt64;
}

struct Answer {
  union {
    value @0 :Data;
    record @1 :Text;
  }
}

struct RecordWrite {
  key @0 :Text;
  union {
    removed @1 :Void;
    value @2 :Data;
  }
}

struct Entry {
  sequence @0 :UInt64;
  view @1 :UInt64;
  writes @2 :List(RecordWrite);
  answer @3 :Answer;
  origin @4 :Origin;
}

struct Read {
  after @0 :UInt64;
  answer @1 :Answer;
  origin @2 :Origin;
}

struct Outcome {
  sequence @0 :UInt64;
  answer @1 :Answer;
  origin @2 :Origin;
}

struct Submit {
  origin @0 :Origin;
  command @1 :Data;
}

struct Replied {
  start @0 :UInt64;
  ticket @1 :UInt64;
  sequence @2 :UInt64;
  answer @3 :Data;
}

struct Append {
  view @0 :UInt64;
  entries @1 :List(Entry);
  reads @2 :List(Read);
}

struct Acknowledge {
  view @0 :UInt64;
  last @1 :UInt64;
  committed @2 :UInt64;
}

struct KeyRange {
  from @0 :Text;
  union {
    open @1 :Void;
    to @2 :Text;
  }
}

struct RangeDigest {
  range @0 :KeyRange;
  digest @1 :Data;
}

struct Record {
  key @0 :Text;
  sequence @1 :UInt64;
  value @2 :Data;
}

struct RangeContents {
  range @0 :KeyRange;
  records @1 :List(Record);
}

struct Resume {
  view @0 :UInt64;
  isComplete @1 :Bool;
  last @2 :UInt64;
  committed @3 :UInt64;
  digests @4 :List(RangeDigest);
}

struct Transfer {
  base @0 :UInt64;
  ranges @1 :List(RangeContents);
  position @2 :UInt64;
  outcomes @3 :List(Outcome);
  entries @4 :List(Entry);
  committed @5 :UInt64;
}

struct Synchronize {
  view @0 :UInt64;
  transfer @1 :Transfer;
}

struct Learn {
  view @0 :UInt64;
  transfer @1 :Transfer;
}

struct Pull {
  committed @0 :UInt64;
  digests @1 :List(RangeDigest);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    prepare @1 :Prepare;
    promise @2 :Promise;
    accept @3 :Accept;
    accepted @4 :Accepted;
    rejected @5 :Rejected;
    decided @6 :Decided;
    submit @7 :Submit;
    replied @8 :Replied;
    append @9 :Append;
    acknowledge @10 :Acknowledge;
    resume @11 :Resume;
    synchronize @12 :Synchronize;
    pull @13 :Pull;
    learn @14 :Learn;
    # From protocol version 1 on.
    voterLost @15 :VoterLost;
  }
}
