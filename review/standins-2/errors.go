//go:build review

package main

import "errors"

var (
	errNoTraffic = errors.New("the server got no request before it left")
	errNoAck     = errors.New("no machine acknowledged the departure")
)
