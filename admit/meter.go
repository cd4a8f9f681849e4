package admit

import "time"

// meter measures how much was asked for lately.
type meter struct {
	window           time.Time
	requests, tokens float64
	// rate holds the averages up to the last window.
	rateRequests, rateTokens float64
}

const meterWindow = 500 * time.Millisecond

func (m *meter) add(now time.Time, requests, tokens float64) {
	m.roll(now)
	m.requests += requests
	m.tokens += tokens
}

func (m *meter) roll(now time.Time) {
	if m.window.IsZero() {
		m.window = now
	}
	d := now.Sub(m.window)
	if d < meterWindow {
		return
	}
	const old = 0.3
	m.rateRequests = old*m.rateRequests + (1-old)*m.requests/d.Seconds()
	m.rateTokens = old*m.rateTokens + (1-old)*m.tokens/d.Seconds()
	m.requests, m.tokens = 0, 0
	m.window = now
}

// rates returns requests and tokens per second, counting the open window.
func (m *meter) rates(now time.Time) (requests, tokens float64) {
	m.roll(now)
	w := meterWindow.Seconds()
	return max(m.rateRequests, m.requests/w), max(m.rateTokens, m.tokens/w)
}
