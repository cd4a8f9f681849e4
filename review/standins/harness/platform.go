//go:build review

package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// PutConfiguration sends a configuration to one control replica after the other until one acknowledges
// it.
func (s *System) PutConfiguration(body string, limit time.Duration) error {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, addr := range s.seeds {
			status, text := s.Call(http.MethodPut, addr, "/configuration", body)
			if status == http.StatusOK {
				s.Record.Add("configuration acknowledged by %s", addr)
				return nil
			}
			last = fmt.Sprint(status, " ", text)
			if status == http.StatusBadRequest {
				return fmt.Errorf("configuration refused: %s", last)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// Heartbeat sends a registration to the control replicas in random order until one acknowledges it, and
// returns whether one did.
func (s *System) Heartbeat(id, body string) bool {
	for _, i := range rand.Perm(len(s.seeds)) {
		if status, _ := s.Call(http.MethodPut, s.seeds[i], "/instances/"+id, body); status/100 == 2 {
			return true
		}
	}
	return false
}

// Resolve returns the gateways that the directory names to clients.
func (s *System) Resolve(host string) []string {
	for _, addr := range s.seeds {
		status, text := s.Call(http.MethodGet, addr, "/resolution?name="+host+"&region=kz-krg&zone=hall-north", "")
		var reply struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &reply) == nil && len(reply.Addresses) > 0 {
			return reply.Addresses
		}
	}
	return nil
}

// AwaitGateways waits until the directory names n gateways.
func (s *System) AwaitGateways(host string, n int, limit time.Duration) error {
	var list []string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if list = s.Resolve(host); len(list) >= n {
			s.Record.Add("directory names %v", list)
			return nil
		}
	}
	return fmt.Errorf("directory names %v, want %d gateways", list, n)
}

// Call calls a control replica and returns the status and the body of the answer; status 0 if there was none.
func (s *System) Call(method, addr, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := control.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
