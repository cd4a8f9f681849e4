package configcheck

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of refusals that lets the failure pass that it was written for, or that counts
// what the rule allows.
func TestRefusalCheck(t *testing.T) {
	acknowledgedAt := time.Unix(1000, 0)
	check := func(allowedBy uint64, status int, after time.Duration) error {
		return CheckRefusals(map[uint64]time.Time{7: acknowledgedAt}, 2*time.Second, []Answer{
			{Gateway: "a", SentAt: acknowledgedAt.Add(after), Status: status, AllowedBy: allowedBy},
		})
	}
	for _, status := range []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound} {
		assert.ErrorContains(t, check(7, status, 2001*time.Millisecond), "by a with")
		assert.NilError(t, check(7, status, 2*time.Second))
		assert.NilError(t, check(8, status, time.Hour), "version 8 was never acknowledged")
	}
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway, 0} {
		assert.NilError(t, check(7, status, time.Hour))
	}
}
