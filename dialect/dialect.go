// Package dialect is the boundary between the product's own types and the names
// and formats that callers, upstreams and operators of a site speak over HTTP.
//
// A Dialect is a plug-in of the namespace "dialect". It translates and decides
// nothing; a site with other names brings another one.
package dialect

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	// ErrUnreadable is returned for a message that can't be decoded. The message
	// names what is wrong.
	ErrUnreadable = merry.Sentinel("message can't be read")
	// ErrUnknown is returned for a name that no dialect has.
	ErrUnknown = merry.Sentinel("no such dialect")
)

// Request is what a caller's request says beside its method, path and body.
type Request struct {
	// ID names this attempt of the caller; it is passed on unchanged.
	ID string
	// Deadline is how long the caller waits from now on; 0 if it doesn't say.
	Deadline time.Duration
	// Key is what the caller shows for its team; empty if it shows none.
	Key string
	// LastEventID is the last event of a stream that the caller has; empty for a
	// stream from its beginning.
	LastEventID string
	// PromptTokens and MaxTokens are the sizes of a generation; 0 if not known.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the answer's tokens; 0 if it has
	// none.
	ExpectedTokens int
}

// Send is what an upstream is told with a request.
type Send struct {
	// Left is the time that the caller will still wait.
	Left time.Duration
	// Instance is the upstream that is meant; another one must not run the request.
	Instance string
	// Team holds the caller's key; empty if no key was asked for.
	Team string
	// LastEventID is where a stream goes on; empty for its beginning.
	LastEventID string
	// Urgent says that the upstream should take the request before others.
	Urgent bool
}

// Answer is what the head of an upstream's response says.
type Answer struct {
	// ID is the attempt that the response belongs to.
	ID string
	// Signed says that the response is one of the upstream's program, and not of
	// something before it.
	Signed bool
	// NotRun certifies that the request has not run and will not.
	NotRun bool
	// GroupDown says that the upstream refused because its group runs nothing now.
	GroupDown bool
	// Instance is the upstream that answered, where it says so.
	Instance string
	// Load is the upstream's at the time of the answer; nil if it doesn't say.
	Load *Load
}

// Load is how busy an upstream says that it is, in requests.
type Load struct {
	Running, Waiting, Slots int
}

// Call is a method and a path as gorilla/mux takes it.
type Call struct {
	Method, Path string
}

// Calls are those that the product answers. InstanceID is the name of the path
// variable in Register and Deregister.
type Calls struct {
	Ready, Resolve         Call
	Register, Deregister   Call
	PutRouting, GetRouting Call
	InstanceID             string
}

// Callers translates what callers and upstreams say of requests.
type Callers interface {
	// ReadRequest reads a caller's header.
	ReadRequest(h http.Header) (Request, error)
	// SetSend sets what an upstream is told and removes what it must not see.
	SetSend(h http.Header, s Send)
	// ReadAnswer reads the head of an upstream's response.
	ReadAnswer(status int, h http.Header) Answer
}

// Operators translates what operators and upstreams tell the control replicas.
type Operators interface {
	// DecodeRouting reads a whole configuration and keeps it as its source.
	DecodeRouting(body []byte) (*wire.RoutingConfig, error)
	// DecodeRegistration reads an upstream's registration. The lease is the caller's
	// to set, and the incarnation where it is 0: the upstream tells none.
	DecodeRegistration(id string, body []byte) (*wire.Announcement, error)
	// EncodeRegistered is the answer to a registration.
	EncodeRegistered() []byte
	// EncodeEntries is the answer to a caller that asks where to connect.
	EncodeEntries(addresses []string, keep time.Duration) []byte
	// EncodeError is the body of a refusal.
	EncodeError(detail string) []byte
}

// Ranks translates what ranks of groups are asked and told by HTTP.
type Ranks interface {
	// RankCalls are the paths of the calls below.
	RankCalls() RankCalls
	// SetInstance says in a call's header which instance is meant.
	SetInstance(h http.Header, instance string)
	DecodeReport(body []byte) (*wire.RankReport, error)
	// DecodeCounts reads how often experts were chosen, and the group's epoch.
	DecodeCounts(body []byte) (epoch uint64, counts []uint64, err error)
	// DecodeHeld reads the experts that a rank holds, set by set.
	DecodeHeld(body []byte) ([]*wire.ExpertList, error)
	// EncodeOrder makes the body of an order; experts is the map that it carries, by set
	// and rank, or nil.
	EncodeOrder(o *wire.RankOrder, experts [][][]uint32) []byte
	// OrderStatus says what a status code means for an order.
	OrderStatus(status int) wire.RankOrderStatus
}

// RankCalls are the calls that ranks answer.
type RankCalls struct {
	Report, Counts, Held, Order Call
}

// Dialect is one site's manner of speaking.
type Dialect interface {
	Calls() Calls
	Callers
	Operators
	Ranks
}

// Namespace is that of dialects among plug-ins.
const Namespace = "dialect"

// Named returns a dialect by its name.
func Named(name string) (Dialect, error) {
	v, err := kernel.Load(Namespace+"."+name, nil)
	if err != nil {
		return nil, err
	}
	d, ok := v.(Dialect)
	if !ok {
		return nil, merry.Prepend(ErrUnknown, name)
	}
	return d, nil
}
