@0xd3a1f7c25b9e4861;

# Messages between controllers, agents and proxies. The Rust code in src/distribution_capnp.rs is generated from this
# file with `capnp compile` and the plugin of the crate capnpc, and committed; schema/README.md tells how.

struct Endpoint {
  union {
    v4 @0 :UInt32;
    v6 @1 :Data;
  }
  port @2 :UInt16;
}

struct Hello {
  role @0 :Role;
  endpoint @1 :Endpoint;

  enum Role {
    peer @0;
    balancer @1;
  }
}

struct ToBalancer {
  union {
    update @0 :Update;
    link @1 :Link;
  }
}

struct Link {
  inQuorum @0 :Bool;
  leaving @1 :Bool;
  controllers @2 :List(ControllerAddress);
}

struct ControllerAddress {
  endpoint @0 :Endpoint;
  zone @1 :Text;
  region @2 :Text;
}

# A section that is absent (null) has not changed.
struct Update {
  configured @0 :Configured;
  evacuations @1 :Evacuations;
  instances @2 :Instances;
  fleet @3 :Fleet;
  changes @4 :InstanceChanges;
}

struct Configured {
  sequence @0 :UInt64;
  body @1 :Data;
}

struct Evacuations {
  sequence @0 :UInt64;
  zones @1 :List(Text);
}

struct Instances {
  version @0 :UInt64;
  list @1 :List(Instance);
}

# What differs from the instances of version base, which the receiver was sent on this connection.
struct InstanceChanges {
  base @0 :UInt64;
  version @1 :UInt64;
  changed @2 :List(Instance);
  removed @3 :List(Text);
}

struct Instance {
  id @0 :Text;
  service @1 :Text;
  address @2 :Endpoint;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  coldMs @6 :UInt64;
}

struct Fleet {
  version @0 :UInt64;
  balancers @1 :UInt32;
  loads @2 :List(RegionLoad);
  failing @3 :List(Text);
}

struct InstanceFailures {
  id @0 :Text;
  failures @1 :UInt32;
}

struct RegionLoad {
  service @0 :Text;
  region @1 :Text;
  requestsPerSecond @2 :Float64;
}

struct Versions {
  configured @0 :UInt64;
  evacuations @1 :UInt64;
  instances @2 :UInt64;
  fleet @3 :UInt64;
}

struct Report {
  node @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  front @4 :Endpoint;
  ready @5 :Bool;
  leaving @6 :Bool;
  applied @7 :Versions;
  sends @8 :List(RegionLoad);
  failing @9 :List(InstanceFailures);
}

struct Gossip {
  instances @0 :List(GossipInstance);
  leases @1 :List(GossipLease);
  scope @2 :GossipScope;
}

enum GossipScope {
  changes @0;
  heard @1;
  complete @2;
  recalled @3;
}

struct GossipInstance {
  id @0 :Text;
  service @1 :Text;
  address @2 :Endpoint;
  zone @3 :Text;
  slots @4 :UInt32;
  sequence @5 :UInt64;
  draining @6 :Bool;
  gone @7 :Bool;
  coldMs @8 :UInt64;
  ageMs @9 :UInt64;
}

struct GossipLease {
  node @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  front @4 :Endpoint;
  ready @5 :Bool;
  leaving @6 :Bool;
  ageMs @7 :UInt64;
  sends @8 :List(RegionLoad);
  failing @9 :List(InstanceFailures);
}
