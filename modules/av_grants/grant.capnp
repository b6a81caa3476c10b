@0xd4e8a61b92c7f305;

# The protocol by which VMs get permits for calls from the VMs that own the
# limits, the grantors. A VM sends queries, and the grantor replies to each in
# their order. Each message is preceded by its length in bytes, as a
# little-endian 32-bit number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilturn::wire");

struct PermitRequest {
  # What the limit applies to: 0 an account, 1 a cold target.
  kind @0 :UInt8;
  # Name of the account or target.
  name @1 :Text;
  # The number of permits, at least one.
  wanted @2 :Int32;
  # Whether the VM could not reach another grantor, so that it may get permits
  # from the reserve.
  mayUseReserve @3 :Bool;
}

struct PermitQuery {
  # Chosen by the VM; the reply repeats it.
  id @0 :UInt64;
  requests @1 :List(PermitRequest);
}

struct PermitGrant {
  # Whether the grantor knows the limit. If not, the other fields are zero.
  known @0 :Bool;
  permits @1 :Int32;
  # How long the permits are valid, from when the VM sent the query.
  leaseMs @2 :Float64;
  # If there are no permits: when there are some for the caller.
  retryAfterMs @3 :Float64;
}

struct PermitReply {
  id @0 :UInt64;
  # One for each request of the query, in the same order.
  grants @1 :List(PermitGrant);
}
