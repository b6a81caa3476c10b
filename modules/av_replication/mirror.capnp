@0xb3a1c5e7f9d20846;

# The protocol by which the VMs that watch the platform's store publish its
# changes to the other VMs of a deployment. Each message is preceded by its
# length in bytes, as a little-endian 32-bit number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

# The first message, from the subscriber.
struct Subscription {
  # The position that the subscriber has reached; epoch zero if it has followed
  # no watcher yet.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  releaseVersion @2 :UInt64;
  # Whether this is a status query, which requests only the watcher's failure
  # domain and the age of the store's last response to it.
  greeting @3 :Bool;
  # Where the subscriber accepts subscribers itself, IP address and port; empty
  # if it accepts none.
  peerAddress @4 :Text;
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
  # Removed from the store, but retained until it expires, since it may return.
  lapsing @9 :Bool;
  # How much longer the target is cold, as of when it last registered.
  coldForMs @10 :Float64;
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
  public @11 :Bool;
  allowedRegions @12 :List(Text);
}

struct Service {
  name @0 :Text;
  healthPath @1 :Text;
  coldRatePerSecond @2 :Float64;
}

struct Account {
  name @0 :Text;
  keys @1 :List(Text);
  # Whether trafficClass is set.
  hasClass @2 :Bool;
  trafficClass @3 :UInt8;
  ratePerSecond @4 :Float64;
  burst @5 :Float64;
  allowedRegions @6 :List(Text);
}

struct StoreRelease {
  version @0 :UInt64;
  rules @1 :List(Rule);
  services @2 :List(Service);
  accounts @3 :List(Account);
  # Whether accounts, regions and cold rates are listed. Watchers of versions
  # that don't know these leave them out, which must not be read as none.
  listsAccounts @4 :Bool;
}

# The changes since the previous message, from the watcher. Also sent without
# changes, as a heartbeat at regular intervals.
struct Update {
  # Random number chosen at the watcher's start.
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  # Whether this is a snapshot, which lists all existing targets instead of the
  # changed ones.
  whole @2 :Bool;
  # Time since the contents that the watcher has read from the store were
  # certainly complete.
  storeSilentMs @3 :UInt32;
  targets @4 :List(RegisteredTarget);
  # Present only if it is newer than the release of the subscriber.
  release @5 :StoreRelease;
  # Revision of the store up to which the watcher knows the targets.
  storeRevision @6 :UInt64;
  # Failure domain of the watcher.
  failureDomain @7 :Text;
  # Whether the message names the standbys, and their addresses. A standby is a
  # subscriber that watches the store itself if the watchers can't.
  namesStandbys @8 :Bool;
  standbys @9 :List(Text);
  # Whether the message names the evacuated failure domains. A watcher names
  # them in its first message to a subscriber and when they change.
  namesEvacuations @10 :Bool;
  evacuatedDomains @11 :List(Text);
  # The same of the contents that it has read or got from another watcher.
  # Negative if the watcher doesn't report it.
  relayedSilentMs @12 :Int64 = -1;
  # Time since the store last answered the watcher or another one that it
  # follows, whatever it answered. Negative if the watcher doesn't report it.
  answeredAgoMs @13 :Int64 = -1;
}
