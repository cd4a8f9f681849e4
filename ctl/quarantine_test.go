package ctl_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
)

// crashPath is the path of the request during which crashservice makes the plain service end.
const crashPath = "/services/clock-core/bad"

// cmdCrashService makes the plain service crash during a request N times, and restarts it each time.
func cmdCrashService(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	s := scriptOf(ts).system
	plain := s.Plains[0]
	var crashes atomic.Int64
	plain.SetFault(func(r *http.Request) fake.Fault {
		if !strings.HasSuffix(r.URL.Path, "/bad") {
			return fake.FaultNone
		}
		crashes.Add(1)
		return fake.FaultStopServer
	})
	for end := time.Now().Add(waitLimit); crashes.Load() < want; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("%d crashes of %d", crashes.Load(), want)
		}
		before := crashes.Load()
		scriptOf(ts).postCrashRequest()
		if crashes.Load() > before {
			ts.Check(plain.Restart())
		}
	}
	plain.SetFault(nil)
}

// postCrashRequest sends the request to the first entry and returns the status, or 0 without a response.
func (s *script) postCrashRequest() int {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.system.Entries[0].CallerAddress()+crashPath, strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// cmdWaitQuarantined waits until a request is in quarantine, and sets a variable to its key.
func cmdWaitQuarantined(ts *testscript.TestScript, _ bool, args []string) {
	var out string
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, out, _ = runCtl(ts, []string{"quarantine", "-o", "json"}, "")
		var list operators.SuspectedRequests
		if json.Unmarshal([]byte(out), &list) == nil && len(list.Requests) == 1 && list.Requests[0].Quarantined {
			ts.Setenv(args[0], list.Requests[0].Key)
			return
		}
	}
	ts.Fatalf("no request is in quarantine: %s", out)
}

// cmdWaitServed waits until the request is served.
func cmdWaitServed(ts *testscript.TestScript, _ bool, _ []string) {
	status := 0
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status = scriptOf(ts).postCrashRequest(); status == http.StatusOK {
			return
		}
	}
	ts.Fatalf("status %d", status)
}
