// Record codes and bit fields of the simulator's binary protocol. Fixed by the simulator.
#pragma once

#include <cstdint>

namespace laureltide::wire {

// Record types in a batch from the simulator. The comments give the simulator's own names where they differ.
enum class EventCode : std::uint8_t {
  kPeerMessage = 1,  // memo
  kLaunch = 2,
  kRequestArrived = 3,  // arrival
  kStreamStarted = 4,   // headers
  kTimerFired = 5,      // timer
  kRetire = 6,
  kAttemptResult = 7,      // returned
  kListUpdate = 8,         // fleet
  kListContents = 9,       // ledger
  kHoldResult = 10,        // ready_there
  kProbeResult = 11,       // health_result
  kRequestAbandoned = 12,  // abandoned
};

// Record types in a reply. Most are named after the method of ActionSink that writes them; the comments give
// the simulator's own names where they differ.
enum class ActionCode : std::uint8_t {
  kDisconnect = 65,
  kFail = 66,  // error
  kCrash = 67,
  kSendToPeer = 68,  // signal
  kRefuse = 69,      // turn away
  kRelease = 70,     // free up
  kSend = 71,        // route
  kStartTimer = 72,  // wake me
  kHold = 73,        // pin up
  kSubscribe = 74,   // follow
  kCancel = 75,      // revoke
  kLog = 76,         // emit
  kFetchList = 77,   // refresh
  kProbe = 78,       // inspect
};

// Outcome of an attempt, an order or a probe.
enum class OutcomeCode : std::uint8_t {
  kOk = 10,
  kError = 20,
  kFull = 30,
  kTimeout = 40,
  kConnectFailed = 50,
  kReset = 60,
  kCancelled = 70,
  kNotRun = 80,  // moot
  kMiss = 90,
};

// Recipient of a kSendToPeer record that goes to all peers.
inline constexpr std::uint32_t kAllPeers = 0xffffffff;

// Flags of a kRequestArrived record.
inline constexpr std::uint8_t kWorkHintValid = 1, kClientRepeat = 2, kIsWrite = 4;

// The information byte of a kAttemptResult record: what the attempt found at the worker in the low bits, the
// function's other requests there in the bits above.
inline constexpr int kFoundMask = 7, kOtherRequestsShift = 3;

}  // namespace laureltide::wire
