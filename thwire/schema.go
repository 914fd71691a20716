// Package thwire holds the protocol between daemons: the schema of the
// messages, frames over TCP, control connections and call sessions.
package thwire

import (
	"net/netip"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:limit arrays:16384 maps:64
//msgp:shim netip.AddrPort as:string using:formatAddress/parseAddress mode:convert
//msgp:tuple Member Server

// Protocol is the version of the protocol; peers of another version are refused.
const Protocol = 4

// The kinds of connection that a Hello opens.
const (
	KindControl = "control"
	KindCall    = "call"
)

// Hello is the first frame of each side of a connection.
type Hello struct {
	Protocol int    `msg:"p"`
	Kind     string `msg:"k"`
	Name     string `msg:"n"` // name of the sending daemon
	Zone     string `msg:"z"`
	Region   string `msg:"r"`
	Version  uint64 `msg:"v"` // configuration version held by the sender
}

// The states of a member, in the order in which they win at equal Sequence.
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

// Member is the membership record of a daemon and its backend server. Newer
// means a higher (Incarnation, Sequence, State). Member and Server are encoded
// without field names, since the return of a zone floods hundreds of them: a
// further field needs another list in News, or a new Protocol.
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
	Server      *Server        `msg:"b"` // nil while no backend server has announced itself
	Blind       bool           `msg:"x"` // the source of the configuration does not answer this daemon
}

// Server describes the backend server beside a daemon.
type Server struct {
	Service string `msg:"s"`
	Version string `msg:"v"`
	Slots   int    `msg:"n"`
	State   string `msg:"t"`
	// Instance is the id that the server has given itself; empty where it has none.
	Instance string `msg:"i"`
	// Born is when the instance started, zero where unknown. It orders the
	// instances at one daemon.
	Born int64 `msg:"o"` // ms since 1970
}

// HeldVersion says which configuration version a daemon has in force.
type HeldVersion struct {
	Name        string `msg:"n"`
	Incarnation uint64 `msg:"c"`
	Version     uint64 `msg:"v"`
	Digest      uint64 `msg:"d"` // first 8 bytes of the digest, big-endian
}

// MoveState is what the fleet knows of a move. Facts merge by maximum; Bad wins.
type MoveState struct {
	Move   string `msg:"m"`
	Step   int    `msg:"s"`
	Bad    bool   `msg:"b"`
	Reason string `msg:"r,omitempty"`
}

// Update carries what is flooded over control connections.
type Update struct {
	Members []Member `msg:"m"`
	Marks   []StateGroup   `msg:"k"`
	Holds   []VersionGroup   `msg:"h"`
	Facts   []MoveState   `msg:"f"`
	Repair  bool     `msg:"r"` // part of anti-entropy
}

// StateGroup lists members that have a state at one sequence. A record that changes
// in nothing but its state is flooded so, since the loss of a zone does that to
// a seventh of the fleet twice: 9 bytes for each member instead of about 100.
type StateGroup struct {
	State    int      `msg:"s"`
	Sequence uint64   `msg:"q"`
	Members  []uint64 `msg:"m"` // hashes of name and incarnation
}

// VersionGroup lists the daemons that have one configuration version in force. Each
// change of the configuration makes every daemon flood this, so a daemon takes
// 9 bytes in it instead of the 47 of a Held.
type VersionGroup struct {
	Version uint64   `msg:"v"`
	Digest  uint64   `msg:"d"` // as in Held
	Members []uint64 `msg:"m"` // hashes of name and incarnation
}

// Delta carries one configuration change. The receiver acknowledges with Known.
type Delta struct {
	Change thconfig.Change `msg:"c"`
}

// KnownVersion acknowledges that the sender knows a configuration version.
type KnownVersion struct {
	Version uint64 `msg:"v"`
	Digest  []byte `msg:"d"`
}

// Fetch asks for the changes after From; the answer is a Batch.
type Fetch struct {
	From uint64 `msg:"f"`
	// Any asks for tables of any size. Without it a daemon that follows a source
	// answers with Known where they are so large that the asker had better read
	// the source.
	Any bool `msg:"a,omitempty"`
	// Routes are the names of those that the latest versions of the asker changed.
	// The receiver may not have seen these versions, and may hold the routes as they
	// were before.
	Routes []string `msg:"r,omitempty"`
}

// ConfigHeadRequest asks a daemon that polls the platform for its next ConfigHead.
type ConfigHeadRequest struct{}

// ConfigHead is the head of the configuration as the sender has read it from the
// platform after an Ask had arrived.
type ConfigHead struct {
	Version uint64 `msg:"v"`
	Failed  bool   `msg:"x"` // the platform did not answer
}

// Batch answers a Fetch: the changes after Fetch.From in order, or the full
// tables where the changes are no longer kept.
type Batch struct {
	Changes []thconfig.Change `msg:"c"`
	Tables  *thconfig.Tables  `msg:"t"`
	Digest  []byte            `msg:"d"` // of Tables
	// Base is the version in which the routes of Tables replace those of the same
	// name; zero where Tables has all routes. Gone names the routes to remove.
	Base uint64   `msg:"b"`
	Gone []string `msg:"g"`
}

// Ping is answered by a Pong of the same Number.
type Ping struct {
	Number uint64 `msg:"n"`
}

// Pong answers a Ping.
type Pong struct {
	Number uint64 `msg:"n"`
}

// Probe asks the receiver to probe a third daemon; the answer is a Probed.
type Probe struct {
	Number  uint64         `msg:"n"`
	Name    string         `msg:"m"`
	Address netip.AddrPort `msg:"a"`
}

// ProbeResult answers a Probe.
type ProbeResult struct {
	Number uint64 `msg:"n"`
	Alive  bool   `msg:"a"`
}

// StateDigest is the digest of a daemon's state for anti-entropy. Equal sums mean that
// both sides know the same.
type StateDigest struct {
	Members uint64 `msg:"m"`
	Held    uint64 `msg:"h"`
	Facts   uint64 `msg:"f"`
	Version uint64 `msg:"v"` // configuration version known
	Count   uint64 `msg:"n"` // live members known; the side with fewer sends its Summary
}

// Summary lists what the sender knows, briefly. The receiver sends what is
// newer on its side, and a Want of what is newer on the sender's.
type Summary struct {
	Members []StateGroup `msg:"m"`
	Holds   []VersionGroup `msg:"h"`
	Facts   []MoveState `msg:"f"`
}

// RecordRequest asks for the records of members with their held versions, and for all facts.
type RecordRequest struct {
	Members []uint64 `msg:"m"` // hashes of name and incarnation
}

// Report carries a target's evidence about a running move to the holder.
type Report struct {
	Move   string  `msg:"m"`
	Source string  `msg:"s"`            // daemon that counted
	Window int     `msg:"w"`            // number of the window, from the shortest
	Counts []ServerCounts `msg:"c,limit=2048"` // three times the servers of the target scale
}

// ServerCounts is the evidence about one backend server in a sliding window.
type ServerCounts struct {
	Pool    string   `msg:"p"`
	Server  string   `msg:"s"`
	Answers uint64   `msg:"a"`           // answers and failures together
	Errors  uint64   `msg:"e"`           // failures among them
	Latency []uint64 `msg:"l,limit=256"` // answers by latency bucket, cold servers left out
}

// Load is what a target daemon advertises on each answer.
type Load struct {
	Limit  int  `msg:"l"` // admission limit, in calls
	Active int  `msg:"a"` // calls in progress
	Queued int  `msg:"q"` // calls in the queue
	Cold   bool `msg:"c"` // the backend server is starting or suddenly cold
	// Wait is the time that a further call of the lowest priority would wait now.
	Wait int64 `msg:"w"` // ns
	// Time is what the backend server takes for a call of the same route; zero
	// where unknown.
	Time int64 `msg:"t"` // ns
}

// Header is one line of an HTTP header.
type Header struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Open begins a call on a stream.
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
	Once     bool     `msg:"o"` // dispatch at most once
	Ended    bool     `msg:"z"` // no body follows
	Instance string   `msg:"i"` // backend server instance that the call is meant for; empty for any
	Priority int      `msg:"y"` // 0 is the most urgent
	Goal     int64    `msg:"g"` // time left until the latency objective in ns; zero without one
	Late     bool     `msg:"b"` // the caller comes back, and its latency objective has passed
	Begun    bool     `msg:"n"` // made by a run that has got answers to other calls
	Again    bool     `msg:"a"` // an earlier attempt of the call may have run
}

// Head begins the answer of a stream.
type Head struct {
	Stream uint32   `msg:"s"`
	Status int      `msg:"c"`
	Header []Header `msg:"e"`
}

// End completes the answer of a stream. Only an answer with End is whole.
type End struct {
	Stream  uint32   `msg:"s"`
	Trailer []Header `msg:"t"`
	Load    Load     `msg:"l"`
}

// Refuse ends a stream with an error in place of the rest of the answer.
type Refuse struct {
	Stream  uint32 `msg:"s"`
	Kind    string `msg:"k"` // an error kind
	Message string `msg:"m"`
	Retry   int64  `msg:"r"` // come back after, in ns
	Load    Load   `msg:"l"`
}

// Cancel tells the target that the caller has gone or the deadline has passed.
type Cancel struct {
	Stream uint32 `msg:"s"`
	Kind   string `msg:"k"`
}

// Credit lets the receiver send more bytes on a stream.
type Credit struct {
	Stream uint32 `msg:"s"`
	Bytes  uint32 `msg:"b"`
}

// GoAway tells the peer to open no further streams.
type GoAway struct {
	Reason string `msg:"r"`
}

// formatAddress returns the binary form, half as long as the text: msgp takes a
// shim with an error as a string only.
func formatAddress(a netip.AddrPort) (string, error) {
	b, err := a.MarshalBinary()
	return string(b), err
}

func parseAddress(s string) (netip.AddrPort, error) {
	var a netip.AddrPort
	err := a.UnmarshalBinary([]byte(s))
	return a, err
}
