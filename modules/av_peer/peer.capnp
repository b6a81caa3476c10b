@0xd1f0a6c8e2b94751;

# The protocol between the VMs of one deployment. Every call names the
# deployment; a VM of another one is refused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

enum MemberState {
  alive @0;
  leaving @1;
}

# The newest heartbeat of one member that the sender has received.
struct Heartbeat {
  incarnation @0 :UInt64;
  counter @1 :UInt32;
  # How many versions the member's release is behind the sender's.
  releaseLag @2 :UInt16;
  state @3 :MemberState;
}

struct VmDescription {
  name @0 :Text;
  failureDomain @1 :Text;
  incarnation @2 :UInt64;
  peerAddress @3 :Text;
  forwardAddress @4 :Text;
  operatorAddress @5 :Text;
}

enum NoticeKind {
  draining @0;
  serving @1;
  probed @2;
}

# A notice of one VM about a target. The incarnation of that VM and its sequence
# number distinguish a repeated notice from a new one.
struct TargetNotice {
  incarnation @0 :UInt64;
  sequence @1 :UInt32;
  ageMs @2 :UInt32;
  target @3 :Text;
  sourceVm @4 :Text;
  kind @5 :NoticeKind;
  busySlots @6 :UInt16;
  queuedCalls @7 :UInt16;
  slots @8 :UInt16;
  reportsDraining @9 :Bool;
}

struct Exchange {
  deployment @0 :Text;
  incarnation @1 :UInt64;
  releaseVersion @2 :UInt64;
  releaseDigest @3 :Text;
  # The sender requests all notices about states of targets, not only recent
  # ones.
  refresh @4 :Bool;
  heartbeats @5 :List(Heartbeat);
  descriptions @6 :List(VmDescription);
  # Incarnations of the VMs whose description the sender lacks.
  wanted @7 :List(UInt64);
  notices @8 :List(TargetNotice);
  # Incarnations of the members that the sender suspects, since it could not
  # reach them itself.
  doubted @9 :List(UInt64);
}

struct ReleaseDocument {
  version @0 :UInt64;
  digest @1 :Text;
  document @2 :Data;
}

enum Refusal {
  none @0;
  otherDeployment @1;
  malformed @2;
  # The receiver can't serve the call at present, or has no release.
  unavailable @3;
}

interface Peer {
  # Exchanges heartbeats, versions and notices in both directions.
  exchange @0 (request :Exchange)
      -> (refusal :Refusal, reply :Exchange);
  # Sends the same message one way, to report a change at once.
  pushNews @1 (news :Exchange) -> (refusal :Refusal);
  # Returns the receiver's current release, which may be newer than requested.
  fetchRelease @2 (deployment :Text, version :UInt64)
      -> (refusal :Refusal, release :ReleaseDocument);
}
