@0xb3a1c5e7f9d20846;

# The protocol by which VMs that watch the platform's store replicate its
# content to the other VMs of a deployment. Each message is preceded by its
# length in bytes, as a little-endian 32-bit number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

# The first message, sent by the subscribing VM.
struct Subscription {
  # The last update that the subscriber has applied from this watcher; zero for
  # none.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  releaseVersion @2 :UInt64;
  # A status query: the subscriber only requests the watcher's failure domain
  # and whether the store is reachable from it.
  greeting @3 :Bool;
}

struct RegisteredTarget {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  service @3 :Text;
  address @4 :Text;
  failureDomain @5 :Text;
  slots @6 :Int32;
  draining @7 :Bool;
  incarnation @8 :Int64;
  # No longer listed in the store, but may return.
  lapsing @9 :Bool;
}

struct ServicePart {
  service @0 :Text;
  weight @1 :Float64;
}

struct Rule {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  service @3 :Text;
  trafficClass @4 :UInt8;
  idempotent @5 :Bool;
  split @6 :List(ServicePart);
  timeoutMs @7 :Float64;
  objectiveMs @8 :Float64;
  mostAttempts @9 :Int32;
  plainPrefix @10 :Bool;
}

struct Service {
  name @0 :Text;
  healthPath @1 :Text;
}

struct StoreRelease {
  version @0 :UInt64;
  rules @1 :List(Rule);
  services @2 :List(Service);
}

# The changes since the previous message, sent by the watcher. Also sent at
# regular intervals when there are none, as a heartbeat.
struct Update {
  # A random number chosen when the watcher starts.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  # The targets are a complete snapshot rather than the changed ones only.
  whole @2 :Bool;
  # Time since the store's last response to the watcher.
  storeSilentMs @3 :UInt32;
  targets @4 :List(RegisteredTarget);
  # Present only if it is newer than the subscriber's current release.
  release @5 :StoreRelease;
  # The store's revision up to which the targets are current.
  storeRevision @6 :UInt64;
  # The watcher's failure domain.
  failureDomain @7 :Text;
}
