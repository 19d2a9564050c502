@0xd5a1f0c8b3e64a27;
# Messages between the processes of ibisport. Bounds are checked again after
# decoding: a flipped bit may decode to a wrong value (see link.py).
# Times are microseconds since the Unix epoch; tokens are whole numbers.

enum Statement {
  didNotRun @0;
  ran @1;
  outcomeUnknown @2;
}

enum Role {
  router @0;
  agent @1;
}

struct Hello {
  schemaVersion @0 :UInt16;
  role @1 :Role;
  session @2 :Text;         # incarnation of the process that connects
  failureDomain @3 :Text;
  address @4 :Text;         # where its own listener is, host:port
  secret @5 :Text;
}

struct Welcome {
  schemaVersion @0 :UInt16;
  role @1 :Role;
  session @2 :Text;         # incarnation of the process that accepts
  failureDomain @3 :Text;
  target @4 :Text;          # empty for a router
  draining @5 :Bool;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  queuedTokens @2 :UInt64;
  slots @3 :UInt32;
  tokenRate @4 :Float64;    # tokens a second with all slots taken
  draining @5 :Bool;
  measuredAt @6 :UInt64;
}

struct Heartbeat {
  sentAt @0 :UInt64;
  load @1 :Load;
  catalogueRevision @2 :UInt64;
}

struct Header {
  name @0 :Text;
  content @1 :Text;
}

struct Submit {
  requestId @0 :Data;       # 16 bytes, made from workspace and idempotency key
  attempt @1 :UInt32;
  session @2 :Text;         # the router session that pays for it
  workspace @3 :Text;
  budget @4 :Text;
  charge @5 :UInt64;        # sequence number of the charge in (session, budget)
  className @6 :Text;
  priority @7 :UInt16;      # lower goes first
  weight @8 :Float64;
  deadline @9 :UInt64;
  reservedTokens @10 :UInt64;  # the most it can cost, prompt included
  promptTokens @11 :UInt64;
  idempotent @12 :Bool;
  keyed @13 :Bool;          # the caller gave the key: it may come again elsewhere
  offset @14 :UInt64;       # first byte of the answer that is wanted
  method @15 :Text;
  path @16 :Text;
  headers @17 :List(Header);
  body @18 :Data;
  service @19 :Bool;        # a plain service's call
  joinOnly @20 :Bool;       # do not start it, only join one that is known
  catalogueRevision @21 :UInt64;
}

struct Accepted {
  requestId @0 :Data;
  attempt @1 :UInt32;
  ownerSession @2 :Text;    # who pays; another session when this one joined
  ownerCharge @3 :UInt64;
}

struct Head {
  requestId @0 :Data;
  attempt @1 :UInt32;
  status @2 :UInt16;
  headers @3 :List(Header);
}

struct Chunk {
  requestId @0 :Data;
  attempt @1 :UInt32;
  offset @2 :UInt64;
  payload @3 :Data;
}

struct Finished {
  requestId @0 :Data;
  attempt @1 :UInt32;
  length @2 :UInt64;        # bytes of the whole answer
  promptTokens @3 :UInt64;
  completionTokens @4 :UInt64;
  complete @5 :Bool;        # false: the target broke off or it was cancelled
  queueMicros @6 :UInt64;
}

struct Refused {
  requestId @0 :Data;
  attempt @1 :UInt32;
  code @2 :Text;
  statement @3 :Statement;
  retryAt @4 :UInt64;       # zero: no time can be given
  detail @5 :Text;
}

struct Cancel {
  requestId @0 :Data;
  attempt @1 :UInt32;
  billed @2 :Bool;           # the caller left: what was generated is paid
}

struct Release {            # the answer was received whole
  requestId @0 :Data;
}

struct ChargeFloor {
  workspace @0 :Text;
  budget @1 :Text;
  floor @2 :UInt64;         # every charge below it is settled in the store
}

struct Settled {
  session @0 :Text;
  floors @1 :List(ChargeFloor);
}

struct Fence {
  session @0 :Text;         # the router session that may send no more work
  call @1 :UInt64;
}

struct ChargeRecord {
  workspace @0 :Text;
  budget @1 :Text;
  charge @2 :UInt64;
  requestId @3 :Data;
  tokens @4 :UInt64;
  complete @5 :Bool;
  running @6 :Bool;
}

struct FenceReport {
  session @0 :Text;
  call @1 :UInt64;
  agentSession @2 :Text;
  records @3 :List(ChargeRecord);
}

struct CatalogueEntry {
  key @0 :Text;
  document @1 :Data;        # JSON; empty: removed
  revision @2 :UInt64;
}

struct CatalogueUpdate {
  revision @0 :UInt64;      # all entries up to this revision are known
  entries @1 :List(CatalogueEntry);
  whole @2 :Bool;           # the entries are the whole catalogue
}

struct CatalogueRequest {
  known @0 :UInt64;
}

struct Recall {             # router to router: give spare tokens back
  workspace @0 :Text;
  budget @1 :Text;
  call @2 :UInt64;
}

struct RecallDone {
  call @0 :UInt64;
  returned @1 :UInt64;
}

struct Goodbye {            # the sender takes no new work; what runs goes on
  reason @0 :Text;
}

struct OrderCall {          # an operator's order for the target
  call @0 :UInt64;
  kind @1 :Text;
  argument @2 :Text;
  fencingNumber @3 :UInt64;
}

struct OrderDone {
  call @0 :UInt64;
  accepted @1 :Bool;
  code @2 :Text;
}

struct Frame {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    heartbeat @2 :Heartbeat;
    submit @3 :Submit;
    accepted @4 :Accepted;
    head @5 :Head;
    chunk @6 :Chunk;
    finished @7 :Finished;
    refused @8 :Refused;
    cancel @9 :Cancel;
    release @10 :Release;
    settled @11 :Settled;
    fence @12 :Fence;
    fenceReport @13 :FenceReport;
    catalogueUpdate @14 :CatalogueUpdate;
    catalogueRequest @15 :CatalogueRequest;
    recall @16 :Recall;
    recallDone @17 :RecallDone;
    goodbye @18 :Goodbye;
    orderCall @19 :OrderCall;
    orderDone @20 :OrderDone;
  }
}
