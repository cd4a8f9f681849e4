// Package dialect translates between the internal types and the names and formats that
// the callers, upstreams and operators of a site use over HTTP.
//
// A Dialect is a plug-in of the namespace "dialect". It only translates and makes no
// decisions; a site with other names or formats provides its own.
package dialect

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Errors returned by dialects.
var (
	// ErrUnreadable is returned for a message that can't be decoded. Its text states the
	// reason.
	ErrUnreadable = merry.Sentinel("message can't be read")
	// ErrUnknown is returned by ByName if the plug-in is not a Dialect.
	ErrUnknown = merry.Sentinel("no such dialect")
)

// Request holds what the header of a caller's request says.
type Request struct {
	// ID identifies this attempt of the caller; it is passed on unchanged.
	ID string
	// Deadline is how long the caller will wait from now on; 0 if unknown.
	Deadline time.Duration
	// Key is the credential that identifies the caller's team; empty if there is none.
	Key string
	// LastEventID is the last event of a stream that the caller has received; empty to
	// start from the beginning.
	LastEventID string
	// SharedParts are the IDs of the parts of the prompt that other requests may have as well, in order.
	SharedParts []string
	// PromptTokens and MaxTokens are the sizes of a generation; 0 if unknown.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the number of tokens in the response; 0 if
	// there is none.
	ExpectedTokens int
}

// UpstreamHeader holds what the header of a request tells the upstream.
type UpstreamHeader struct {
	// Remaining is how long the caller will still wait.
	Remaining time.Duration
	// Instance is the upstream instance meant; another one must not run the request.
	Instance string
	// Team is the caller's key; empty if none was required.
	Team string
	// LastEventID is the event after which a stream resumes; empty to start from the beginning.
	LastEventID string
	// Priority asks the upstream to run the request before those with a larger number; nil to ask
	// for nothing.
	Priority *uint32
}

// Answer holds what the header of an upstream's response says.
type Answer struct {
	// ID is the attempt that the response belongs to.
	ID string
	// FromUpstream reports that the response comes from the upstream itself, and not from an
	// intermediary such as a proxy.
	FromUpstream bool
	// NotRun guarantees that the request has not run and will not.
	NotRun bool
	// GroupDown reports that the upstream refused because its group currently runs nothing.
	GroupDown bool
	// Instance is the upstream instance that answered; empty if unknown.
	Instance string
	// Load is the load of the upstream at the time of the response; nil if unknown.
	Load *Load
	// Limit is the number of requests a second that the upstream takes from all gateways together,
	// for as long as its answers have it; nil if this one has none.
	Limit *float64
	// Leaving reports that the upstream leaves and wants no more requests.
	Leaving bool
	// Rest is for how long the upstream, which has refused, wants no request from this gateway; 0 if it
	// names no time.
	Rest time.Duration
	// Unreadable are the fields about what the upstream bears that can't be read, as NAME: "VALUE".
	Unreadable []string
}

// Load is the load that an upstream reports, in requests.
type Load struct {
	Running, Waiting, Slots int
}

// Call is a method and a path template for gorilla/mux.
type Call struct {
	Method, Path string
}

// ServedCalls are the calls that the load balancer serves. InstanceID is the name of the path
// variable in Register and Deregister, DomainName that of the failure domain in Evacuate and Restore.
type ServedCalls struct {
	Ready, Resolve         Call
	Register, Deregister   Call
	PutRouting, GetRouting Call
	Evacuate, Restore      Call
	InstanceID, DomainName string
}

// Callers translates the headers of requests and responses.
type Callers interface {
	// ReadRequest reads the header of a caller's request.
	ReadRequest(h http.Header) (Request, error)
	// SetUpstreamHeader sets the fields that the upstream needs, and removes those it must not
	// receive.
	SetUpstreamHeader(h http.Header, s UpstreamHeader)
	// ReadAnswer reads the status and header of an upstream's response.
	ReadAnswer(status int, h http.Header) Answer
}

// Operators translates the messages of operators and upstreams to the control replicas.
type Operators interface {
	// DecodeRouting decodes a whole configuration and stores body as its source text.
	DecodeRouting(body []byte) (*wire.RoutingConfig, error)
	// DecodeRegistration decodes the registration of an upstream. The caller must set the
	// lease, and the incarnation if it is 0 because the upstream didn't send one.
	DecodeRegistration(id string, body []byte) (*wire.Announcement, error)
	// EncodeRegistered encodes the response to a registration.
	EncodeRegistered() []byte
	// EncodeEntries encodes the addresses that a caller may connect to, and how long it may
	// cache them.
	EncodeEntries(addresses []string, ttl time.Duration) []byte
	// EncodeError encodes the body of an error response.
	EncodeError(detail string) []byte
}

// Ranks translates the HTTP calls to ranks of groups and their responses.
type Ranks interface {
	// RankCalls returns the methods and paths of the calls to ranks.
	RankCalls() RankCalls
	// SetInstance sets the header field that names the instance meant.
	SetInstance(h http.Header, instance string)
	DecodeReport(body []byte) (*wire.RankReport, error)
	// DecodeCounts decodes how often each expert was chosen, and the epoch of the group.
	DecodeCounts(body []byte) (epoch uint64, counts []uint64, err error)
	// DecodeHeld decodes the experts that a rank holds, by set.
	DecodeHeld(body []byte) ([]*wire.ExpertList, error)
	// EncodeOrder encodes the body of an order. experts is the map that it carries, indexed
	// by set and rank, or nil.
	EncodeOrder(o *wire.RankOrder, experts [][][]uint32) []byte
	// OrderStatus translates the status code of the response to an order.
	OrderStatus(status int) wire.RankOrderStatus
}

// RankCalls are the calls that ranks serve.
type RankCalls struct {
	Report, Counts, Held, Order Call
}

// Dialect is the set of names and formats that one site uses.
type Dialect interface {
	Calls() ServedCalls
	Callers
	Operators
	Ranks
}

// Namespace is the plug-in namespace of dialects.
const Namespace = "dialect"

// ByName returns the dialect with the name. It fails if there is none.
func ByName(name string) (Dialect, error) {
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
