@0xc3a7d1f05b9e6a42;

# Messages between entry hosts.

struct Delivery {
  # Frame of a connection. The receiver confirms frames by their count.
  from @0 :UInt64;
  # Incarnation of the sender; set in the first delivery of a connection, which has no messages.
  to @1 :UInt64;
  # Incarnation that the sender means to reach; set in the first delivery of a connection.
  messages @2 :List(Message);
}

struct Message {
  union {
    forward @0 :Forward;
    finished @1 :Finished;
    control @2 :Data;
    # Any other message, as postcard bytes.
  }
}

enum Class {
  urgent @0;
  batch @1;
  heavy @2;
}

struct Forward {
  front @0 :UInt64;
  number @1 :UInt64;
  shard @2 :Text;
  id @3 :Data;
  # Sixteen bytes of the UUID.
  service @4 :Text;
  class @5 :Class;
  team @6 :Text;
  idempotent @7 :Bool;
  remaining @8 :UInt64;
  # Time to the deadline at the write, microseconds.
  body @9 :Data;
}

struct Finished {
  front @0 :UInt64;
  number @1 :UInt64;
  outcome :union {
    answered :group {
      status @2 :UInt16;
      body @3 :Data;
    }
    notRun @4 :Data;
    # Reason as postcard bytes.
    unknown @5 :Data;
    # Reason as postcard bytes.
  }
}
