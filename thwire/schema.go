// Package thwire implements the protocol between daemons: the message schema,
// framing over TCP, control connections and multiplexed call sessions.
package thwire

import (
	"net/netip"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:limit arrays:16384 maps:64
//msgp:shim netip.AddrPort as:string using:formatAddress/parseAddress mode:convert
//msgp:tuple Member Server

// Protocol is the protocol version; connections of peers with another version are
// rejected.
const Protocol = 6

// The connection kinds of a Hello, besides KindDirect.
const (
	KindControl = "control"
	KindCall    = "call"
)

// Hello is the handshake: the first frame of each side of a connection.
type Hello struct {
	Protocol int    `msg:"p"`
	Kind     string `msg:"k"`
	Name     string `msg:"n"` // name of the sending daemon
	Zone     string `msg:"z"`
	Region   string `msg:"r"`
	Version  uint64 `msg:"v"` // configuration version that the sender holds
}

// The states of a member. At an equal Sequence the higher state takes precedence.
const (
	MemberAlive   = 0
	MemberSuspect = 1
	MemberLeaving = 2
	MemberDead    = 3
)

// The states of a backend server.
const (
	ServerStarting = "starting"
	ServerReady    = "ready"
	ServerLeaving  = "leaving"
)

// Member is the membership record of a daemon and its backend server. The record
// with the higher (Incarnation, Sequence, State) is newer. Member and Server are
// encoded without field names, since the recovery of a zone floods hundreds of them:
// a new field needs another list in Update, or a new Protocol.
type Member struct {
	Name        string         `msg:"n"`
	Zone        string         `msg:"z"`
	Region      string         `msg:"r"`
	Peer        netip.AddrPort `msg:"p"`
	Ingress     netip.AddrPort `msg:"i"`
	Admin       netip.AddrPort `msg:"a"`
	Incarnation uint64         `msg:"c"` // start time of the process in ns since 1970
	Sequence    uint64         `msg:"q"`
	State       int            `msg:"s"`
	Server      *Server        `msg:"b"` // nil until a backend server has registered
	Blind       bool           `msg:"x"` // the daemon is disconnected from the configuration source
}

// Limits of the texts of a Member and its Server.
const (
	MaxNameBytes     = 64 // of the names of daemons, zones, regions, services and versions
	MaxInstanceBytes = 200
)

// Server describes the local backend server of a daemon.
type Server struct {
	Service string `msg:"s"`
	Version string `msg:"v"`
	Slots   int    `msg:"n"`
	State   string `msg:"t"`
	// Instance is the id that the server reports for itself; empty if it has none.
	Instance string `msg:"i"`
	// Born is the start time of the instance, zero if unknown. It orders the
	// instances at one daemon.
	Born int64 `msg:"o"` // ms since 1970
}

// HeldVersion is the configuration version that is in effect at a daemon.
type HeldVersion struct {
	Name        string `msg:"n"`
	Incarnation uint64 `msg:"c"`
	Version     uint64 `msg:"v"`
	Digest      uint64 `msg:"d"` // first 8 bytes of the digest, big-endian
}

// MoveState is the replicated state of a move. Two states merge to the higher Step; Bad
// takes precedence, and End over both.
type MoveState struct {
	Move   string `msg:"m"`
	Step   int    `msg:"s"`
	Bad    bool   `msg:"b"`
	Reason string `msg:"r,omitempty"`
	End    string `msg:"e,omitempty"` // committed final state, empty while the move is running

	// Lasts is the time for which a daemon keeps the share of Step if that is a load test,
	// counted from when it learns of the step.
	Lasts time.Duration `msg:"l,omitempty"`
	// Calls is the number of calls that each backend server of the new version may get in
	// that load test; zero means no limit.
	Calls uint64 `msg:"c,omitempty"`
}

// CrashRecord is the replicated record of a request that was in progress at backend servers
// when they crashed. Package thcrash merges two records of a request.
type CrashRecord struct {
	Request string   `msg:"r"`         // fingerprint of the request
	Round   uint64   `msg:"n"`         // increases with a response, which removes the crashes before it
	Crashes []uint64 `msg:"c,limit=8"` // ids of the crashed processes, sorted
	Time    int64    `msg:"t"`         // of the latest crash or response, in ms since 1970
	// Alone means that one of the processes crashed while it ran the request as its only
	// suspect one.
	Alone bool `msg:"a,omitempty"`
}

// Update carries the state updates that are flooded over control connections.
type Update struct {
	Members []Member       `msg:"m"`
	Marks   []StateGroup   `msg:"k"` // members by state
	Holds   []VersionGroup `msg:"h"` // members by held version
	Facts   []MoveState    `msg:"f"` // states of moves
	Crashes []CrashRecord  `msg:"c,omitempty"`
	Repair  bool           `msg:"r"` // sent by anti-entropy
}

// StateGroup lists the members that have the same state and sequence number. It
// floods records of which only the state changes: the loss of a zone changes a seventh
// of the fleet that way twice, and takes 9 bytes per member instead of about 100.
type StateGroup struct {
	State    int      `msg:"s"`
	Sequence uint64   `msg:"q"`
	Members  []uint64 `msg:"m"` // hashes of name and incarnation
}

// VersionGroup lists the daemons at which the same configuration version is in effect.
// Every daemon floods its version after each configuration change, and takes 9 bytes
// here instead of the 47 bytes of a HeldVersion.
type VersionGroup struct {
	Version uint64   `msg:"v"`
	Digest  uint64   `msg:"d"` // as in HeldVersion
	Members []uint64 `msg:"m"` // hashes of name and incarnation
}

// Delta carries one configuration change. The receiver acknowledges it with a
// KnownVersion.
type Delta struct {
	Change thconfig.Change `msg:"c"`
}

// KnownVersion reports the configuration version that the sender knows. It
// acknowledges a Delta.
type KnownVersion struct {
	Version uint64 `msg:"v"`
	Digest  []byte `msg:"d"`
}

// Fetch requests the changes after the version From; the reply is a Batch.
type Fetch struct {
	From uint64 `msg:"f"`
	// Any requests tables of any size. Without it, a daemon that follows a source
	// replies with KnownVersion if the tables are so large that the requester should
	// read the source instead.
	Any bool `msg:"a,omitempty"`
	// Routes names the routes that the latest versions of the requester changed. The
	// receiver may not have seen these versions, and may still hold the earlier routes.
	Routes []string `msg:"r,omitempty"`
	// Accounts is the digest of the requester's accounts. A Batch leaves out equal ones.
	Accounts uint64 `msg:"c,omitempty"`
}

// ConfigHeadRequest asks a daemon that polls the platform for its next ConfigHead.
type ConfigHeadRequest struct{}

// ConfigHead is the head of the configuration that the sender read from the platform
// after it had received a ConfigHeadRequest.
type ConfigHead struct {
	Version uint64 `msg:"v"`
	Failed  bool   `msg:"x"` // the platform did not respond
}

// Batch is the reply to a Fetch: the changes after Fetch.From in order, or tables if the
// changes are no longer stored.
type Batch struct {
	Changes []thconfig.Change `msg:"c"`
	Tables  *thconfig.Tables  `msg:"t"`
	Digest  []byte            `msg:"d"` // of Tables
	// Base is the version to which Tables applies: its routes replace those of the same
	// name. It is zero if Tables has all routes. Gone names the routes to remove.
	Base uint64   `msg:"b"`
	Gone []string `msg:"g"`
	// SameAccounts means that Tables lacks the accounts because the requester has them.
	SameAccounts bool `msg:"a,omitempty"`
}

// Ping requests a Pong with the same Number.
type Ping struct {
	Number uint64 `msg:"n"`
}

// Pong is the reply to a Ping.
type Pong struct {
	Number uint64 `msg:"n"`
}

// Probe asks the receiver to probe a third daemon; the reply is a ProbeResult.
type Probe struct {
	Number  uint64         `msg:"n"`
	Name    string         `msg:"m"`
	Address netip.AddrPort `msg:"a"`
}

// ProbeResult is the reply to a Probe.
type ProbeResult struct {
	Number uint64 `msg:"n"`
	Alive  bool   `msg:"a"`
}

// StateDigest is the digest of a daemon's state for anti-entropy. Equal digests mean
// equal states.
type StateDigest struct {
	Members uint64 `msg:"m"`
	Held    uint64 `msg:"h"`           // held versions
	Facts   uint64 `msg:"f"`           // states of moves
	Crashes uint64 `msg:"c,omitempty"` // crash records
	Version uint64 `msg:"v"`           // configuration version known
	Count   uint64 `msg:"n"`           // live members known; the side with fewer sends its Summary
}

// Summary lists the state of the sender in short form. The receiver sends the records
// that are newer on its side, and a RecordRequest for those that are newer at the
// sender.
type Summary struct {
	Members []StateGroup   `msg:"m"`
	Holds   []VersionGroup `msg:"h"`
	Facts   []MoveState    `msg:"f"`
	Crashes []CrashRecord  `msg:"c,omitempty"`
}

// RecordRequest requests the records of members with their held versions, and the states
// of all moves.
type RecordRequest struct {
	Members []uint64 `msg:"m"` // hashes of name and incarnation
}

// Departure identifies a process of a backend server instance that has announced that it
// leaves. It is sent to a daemon that has started since and does not know of it.
type Departure struct {
	Instance string `msg:"i"`
	Born     int64  `msg:"o"` // ms since 1970
}

// ServerLimit is the limit that a backend server instance has stated in its responses. A
// daemon that connects gets it for the instance beside it, since it may have restarted after
// the last response.
type ServerLimit struct {
	Instance string  `msg:"i"`
	Rate     float64 `msg:"r"` // calls per second
}

// Report carries the call statistics of a target about a running move to the coordinator
// of the move.
type Report struct {
	Move   string         `msg:"m"`
	Source string         `msg:"s"` // daemon that counted the calls
	Window int            `msg:"w"` // index of the sliding window, from the shortest
	Counts []ServerCounts `msg:"c,limit=2048"`

	// Totals of the local backend server since the source started or learned of the move.
	OldSent     uint64        `msg:"o"` // calls sent to the old version
	NewSent     uint64        `msg:"n"` // calls sent to the new version
	OldActive   uint64        `msg:"b"` // calls of the old version in progress
	NewAnswered uint64        `msg:"r"` // responses and failures of the new version
	Age         time.Duration `msg:"a"` // since the source learned of the move
}

// ServerCounts are the call statistics of one backend server and route in a sliding
// window.
type ServerCounts struct {
	Pool    string   `msg:"p"`
	Server  string   `msg:"s"`
	Route   string   `msg:"r"`           // empty for the routes without statistics of their own
	Answers uint64   `msg:"a"`           // responses, including failures
	Errors  uint64   `msg:"e"`           // failed responses
	Latency []uint64 `msg:"l,limit=256"` // responses by latency bucket, without those of cold servers

	// Unfinished are the calls in progress, and those cut off by their caller, by their
	// age in latency buckets. Calls to cold servers are left out.
	Unfinished []uint64 `msg:"u,limit=256"`
}

// UsageCounts carries the requests that the sender has counted by account to a collector of
// usage reports. The reply is a UsageReply.
type UsageCounts struct {
	Process uint64        `msg:"p"` // random id of the sender's process
	Now     int64         `msg:"n"` // true time of the sender, in ns since 1970
	Windows []UsageWindow `msg:"w,limit=16"`
}

// UsageWindow is the usage of one window at one daemon, or the accounts whose counts have
// changed since the last message.
type UsageWindow struct {
	Number int64 `msg:"n"`
	// Final means that the receiver now has all counts of the window and that they no longer
	// change.
	Final  bool         `msg:"f"`
	Counts []UsageCount `msg:"c,limit=2048"`
}

// UsageCount is the number of requests of an account since the window began.
type UsageCount struct {
	Account string `msg:"a"`
	Count   uint64 `msg:"c"`
}

// Limits of UsageCounts. The tags of its fields repeat the first two.
const (
	MaxUsageWindows = 16
	MaxUsageCounts  = 2048 // of one window
	MaxAccountBytes = 256  // of the name of an account
)

// UsageReply is the reply to UsageCounts. A daemon that has become the holder of the duty of
// reporting also sends one without Received to all others.
type UsageReply struct {
	Now      int64   `msg:"n"`          // true time of the sender, in ns since 1970
	Received []int64 `msg:"r,limit=16"` // windows whose final counts the sender has
	// Holder, Token and Version are what the sender knows of the holder; empty if nothing.
	Holder  string `msg:"h"`
	Token   uint64 `msg:"t"`
	Version uint64 `msg:"v"`
	// First is the first window that is not known to be reported. It keeps a holder from reporting
	// windows again after the store was restored from a copy.
	First int64 `msg:"f"`
	// Asked is Now of the UsageCounts that this answers, from which its sender measures the
	// round trip; zero if it answers none.
	Asked int64 `msg:"a"`
}

// Load is the load that a target daemon reports with each response.
type Load struct {
	Limit  int  `msg:"l"` // admission limit, in calls
	Active int  `msg:"a"` // calls in progress
	Queued int  `msg:"q"` // calls in the queue
	Cold   bool `msg:"c"` // the backend server is starting up or has become cold
	// Rate is the number of calls per second that the backend server states as its
	// limit, from which Limit is derived; zero if it states none.
	Rate float64 `msg:"r,omitempty"`
	// Wait is the estimated queueing delay of a further call of the lowest priority.
	Wait int64 `msg:"w"` // ns
	// Time is the time that the backend server takes for a call of the same route;
	// zero if unknown.
	Time int64 `msg:"t"` // ns
	// Link is the time until the link of the target daemon would have sent a response of the
	// same route that is ready now; zero if unknown. See LinkTime.
	Link int64 `msg:"k,omitempty"` // ns
	// Slow is the time that work takes at the backend server at the moment, in percent of the
	// usual time; zero if it takes the usual time or the server doesn't state it.
	Slow int `msg:"s,omitempty"`
}

// Header is one line of an HTTP header.
type Header struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Open starts a call on a new stream.
type Open struct {
	Stream   uint32   `msg:"s"`
	Version  uint64   `msg:"v"` // configuration version that the ingress used
	Route    string   `msg:"r"`
	Pool     string   `msg:"p"`
	Class    string   `msg:"c"`
	Method   string   `msg:"m"`
	Target   string   `msg:"t"` // path and query
	Host     string   `msg:"h"`
	Header   []Header `msg:"e"`
	Deadline int64    `msg:"d"` // remaining time in ns
	Depth    int      `msg:"x"`
	Key      string   `msg:"k"` // idempotency key
	Once     bool     `msg:"o"` // non-idempotent: dispatched at most once
	Ended    bool     `msg:"z"` // the request has no body
	Instance string   `msg:"i"` // backend server instance that must handle the call; empty for any
	Priority int      `msg:"y"` // 0 is the most urgent
	Goal     int64    `msg:"g"` // time left until the latency objective in ns; zero without one
	Late     bool     `msg:"b"` // from a retrying client, and the latency objective has passed
	Begun    bool     `msg:"n"` // nested call whose parent call has already received responses to other nested calls
	Again    bool     `msg:"a"` // retry: an earlier attempt of the call may have run
	// Rate is the limit in calls per second that Instance last stated, as known to the
	// ingress; zero without one.
	Rate float64 `msg:"l,omitempty"`
	// Suspect is the fingerprint of a request that may have crashed a backend server, empty
	// for others. The target runs one such request at a time.
	Suspect string `msg:"u,omitempty"`
	// Account is the name of the client account that the call belongs to, empty without one.
	Account string `msg:"f,omitempty"`
	Rank    int    `msg:"q,omitempty"` // priority of the account, which goes before Priority
	// Nested means that a backend server makes the call for a request that it runs.
	Nested bool `msg:"j,omitempty"`
	// Window is the number of bytes of the response that the target may send without a Credit;
	// zero means the usual window.
	Window uint32 `msg:"w,omitempty"`
}

// Head starts the response on a stream: its status and header.
type Head struct {
	Stream uint32   `msg:"s"`
	Status int      `msg:"c"`
	Header []Header `msg:"e"`
}

// End completes the response on a stream. A response without End is truncated.
type End struct {
	Stream  uint32   `msg:"s"`
	Trailer []Header `msg:"t"`
	Load    Load     `msg:"l"`
}

// Refuse ends a stream with an error instead of the rest of the response.
type Refuse struct {
	Stream  uint32 `msg:"s"`
	Kind    string `msg:"k"` // an error kind
	Message string `msg:"m"`
	Retry   int64  `msg:"r"` // delay before a retry, in ns
	Load    Load   `msg:"l"`
}

// Cancel notifies the target that the client disconnected or the deadline passed.
type Cancel struct {
	Stream uint32 `msg:"s"`
	Kind   string `msg:"k"`
}

// Credit extends the flow-control window of the receiver on a stream.
type Credit struct {
	Stream uint32 `msg:"s"`
	Bytes  uint32 `msg:"b"`
}

// GoAway tells the peer to open no further streams.
type GoAway struct {
	Reason string `msg:"r"`
}

// formatAddress encodes an address in binary form, half as long as the text. It returns
// a string because msgp supports shims that return an error only for strings.
func formatAddress(a netip.AddrPort) (string, error) {
	b, err := a.MarshalBinary()
	return string(b), err
}

func parseAddress(s string) (netip.AddrPort, error) {
	var a netip.AddrPort
	err := a.UnmarshalBinary([]byte(s))
	return a, err
}
