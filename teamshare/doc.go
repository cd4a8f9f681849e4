// Package teamshare decides which teams ask for more than their fair share of a contended service.
//
// A gateway counts the requests of its callers by team and priority in a Counter, and reports them to
// a control replica while the service is contended. The replica's Collector sums them up over all
// gateways. From the sums, each gateway computes the Shares: the max-min fair level of the teams'
// demands, and how many of a team's requests are beyond it. Counter, Collector and Shares are pure; Node
// gives them goroutines and connections.
package teamshare
