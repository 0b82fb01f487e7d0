// Messages between processes of teaseldock; see teaseldock/messages.py.
// Fields are only added, with new numbers, so that two versions interoperate.

struct Member {
  1: string name
  2: string role
  3: string data_centre
  4: string host
  5: i32 port
  6: i64 incarnation
  7: i32 counter
  8: i32 health
  9: bool leaving
}

struct Ping {
  1: i64 sequence
  2: Member sender
  3: bool joining
  4: i64 generation
  5: i64 checksum
  6: list<Member> rumours
}

struct Ack {
  1: i64 sequence
  2: Member sender
  3: i64 generation
  4: i64 checksum
  5: list<Member> rumours
}

struct PingRequest {
  1: i64 sequence
  2: Member sender
  3: string subject
}

struct Vouch {
  1: i64 sequence
  2: Member sender
  3: string subject
}

struct ServiceLoad {
  1: i64 service_number
  2: binary reports
}

struct Loads {
  1: string sender
  2: i64 incarnation
  3: list<ServiceLoad> services
}

struct Locate {
  1: string sender
  2: i64 service_number
  3: binary flow
}

struct Located {
  1: string sender
  2: i64 service_number
  3: binary flow
  4: bool held
}

struct Announce {
  1: string sender
  2: i64 service_number
  3: i64 batch
  4: list<binary> flows
  5: binary complete
  6: bool taken_over
}

struct Announced {
  1: string sender
  2: i64 service_number
  3: i64 batch
  4: list<binary> elsewhere
}

struct Execute {
  1: string sender
  2: i64 service_number
  3: i64 call
  4: i64 sender_incarnation
  5: i64 receiver_incarnation
  6: double weight
  7: bool idempotent
  8: i32 deadline_ms
  9: binary body
  10: binary reports
}

struct Executed {
  1: string sender
  2: i64 service_number
  3: i64 call
  4: i32 outcome
  5: binary body
  6: binary reports
}

struct Claim {
  1: string sender
  2: i64 service_number
  3: i64 call
  4: i64 incarnation
}

struct Consent {
  1: string sender
  2: i64 service_number
  3: i64 call
  4: i64 incarnation
  5: bool granted
}

struct Feed {
  1: binary request
  2: i64 sequence
}

struct Result {
  1: binary request
  2: binary answer
}

struct Transfer {
  1: string sender
  2: i64 service_number
  3: binary flow
  4: list<Feed> feeds
  5: list<Result> results
}

struct Transferred {
  1: string sender
  2: i64 service_number
  3: binary flow
}

struct StoredDocument {
  1: string key
  2: i64 revision
  3: string publisher
  4: binary content
}

struct Documents {
  1: list<StoredDocument> documents
}

union PeerMessage {
  1: Ping Ping
  2: Ack Ack
  3: PingRequest PingRequest
  4: Vouch Vouch
  5: Loads Loads
  6: Locate Locate
  7: Located Located
  8: Announce Announce
  9: Announced Announced
  10: Execute Execute
  11: Executed Executed
  12: Transfer Transfer
  13: Transferred Transferred
  14: Documents Documents
  15: Claim Claim
  16: Consent Consent
}
