@0xd1f0a6c8e2b94751;

# The protocol between the VMs of one deployment. Each call names the
# deployment; calls from VMs of another deployment are refused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

enum MemberState {
  alive @0;
  leaving @1;
}

# The most recent heartbeat of a member that the sender has received.
struct Heartbeat {
  incarnation @0 :UInt64;
  counter @1 :UInt32;
  # Number of versions that the member is behind the sender's release.
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

# What one VM observed of a target. That VM's incarnation and sequence number
# distinguish a new notice from a repeated one.
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
  # Requests the receiver's complete state.
  refresh @4 :Bool;
  heartbeats @5 :List(Heartbeat);
  descriptions @6 :List(VmDescription);
  # Incarnations whose description the sender requests.
  wanted @7 :List(UInt64);
  notices @8 :List(TargetNotice);
  # Incarnations of members that the sender suspects, since it failed to reach
  # them itself.
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
  # The receiver cannot reply at present, or has no release.
  unavailable @3;
}

interface Peer {
  # Exchanges heartbeats, versions and notices in both directions.
  exchange @0 (request :Exchange)
      -> (refusal :Refusal, reply :Exchange);
  # Sends the same message in one direction, as soon as something has changed.
  pushNews @1 (news :Exchange) -> (refusal :Refusal);
  # Returns the release in force at the receiver, which may be newer than the
  # requested version.
  fetchRelease @2 (deployment :Text, version :UInt64)
      -> (refusal :Refusal, release :ReleaseDocument);
}
