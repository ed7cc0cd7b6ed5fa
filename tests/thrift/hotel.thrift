// The service that independent libraries speak through the daemon in test_peers.py.
exception Sold { 1: string room, 2: i32 left }

struct Night { 1: i32 day, 2: double price, 3: optional bool open }

struct Rate {
  1: string room
  2: list<Night> nights
  3: map<string, i64> caps
  4: set<i16> tags
  5: binary blob
  6: list<bool> flags
  7: i8 small
  8: optional string note
}

struct Load { 1: i32 inflight, 2: i64 queue }

service RateService {
  Rate push(1: Rate rate, 2: string id) throws (1: Sold sold)
  oneway void note(1: string text)
  Load load()
}
