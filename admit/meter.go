package admit

import "time"

// meter measures the recent rate of requests and tokens that were asked for.
type meter struct {
	windowStart      time.Time
	requests, tokens float64
	// rateRequests and rateTokens are the smoothed rates up to the last full window.
	rateRequests, rateTokens float64
}

const meterWindow = 500 * time.Millisecond

func (m *meter) add(now time.Time, requests, tokens float64) {
	m.closeWindow(now)
	m.requests += requests
	m.tokens += tokens
}

func (m *meter) closeWindow(now time.Time) {
	if m.windowStart.IsZero() {
		m.windowStart = now
	}
	d := now.Sub(m.windowStart)
	if d < meterWindow {
		return
	}
	const oldWeight = 0.3
	m.rateRequests = oldWeight*m.rateRequests + (1-oldWeight)*m.requests/d.Seconds()
	m.rateTokens = oldWeight*m.rateTokens + (1-oldWeight)*m.tokens/d.Seconds()
	m.requests, m.tokens = 0, 0
	m.windowStart = now
}

// rates returns requests and tokens per second, including the current window.
func (m *meter) rates(now time.Time) (requests, tokens float64) {
	m.closeWindow(now)
	w := meterWindow.Seconds()
	return max(m.rateRequests, m.requests/w), max(m.rateTokens, m.tokens/w)
}
