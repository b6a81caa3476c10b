@0xb3a1c5e7f9d20846;

# How VMs that watch the platform's store pass on what they learn to the other
# VMs of a deployment. Each message is preceded by its length in bytes, as a
# little-endian 32-bit number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

# The first message, from the VM that wants to be told.
struct Subscription {
  # What it holds from this watcher; zero for nothing.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  releaseVersion @2 :UInt64;
  # The subscriber only wants to know where the watcher stands and whether the
  # store answers it.
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
  # Gone from the store, but may come back.
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

# What has changed since the message before, from the watcher. It is sent at
# intervals also when nothing has.
struct Update {
  # Drawn at the watcher's start.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  # The targets are all that there are, rather than those that changed.
  whole @2 :Bool;
  # Since the store last answered the watcher.
  storeSilentMs @3 :UInt32;
  targets @4 :List(RegisteredTarget);
  # Stands only if it is newer than what the subscriber holds.
  release @5 :StoreRelease;
  # Of the store, up to which the targets are known.
  storeRevision @6 :UInt64;
  # Where the watcher stands.
  failureDomain @7 :Text;
}
