package operators_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The page must not be kept by a cache, shown in another page's frame, or load
// anything from elsewhere; text in a row must not become script or markup.
func TestPageIsGuarded(t *testing.T) {
	s := start(t)
	for _, path := range []string{"/", "/page/table.css", "/page/table.js"} {
		page := send(t, s, "GET", path, "", "Authorization", "")
		assert.Equal(t, page.status, 200, path)
		policy := page.header.Get("Content-Security-Policy")
		for _, want := range []string{"default-src 'none'", "script-src 'self'", "connect-src 'self'", "frame-ancestors 'none'"} {
			assert.Assert(t, strings.Contains(policy, want), policy)
		}
		assert.Assert(t, !strings.Contains(policy, "unsafe"))
		assert.Equal(t, page.header.Get("X-Content-Type-Options"), "nosniff")
		assert.Equal(t, page.header.Get("Cache-Control"), "no-store")
		for _, forbidden := range []string{"innerHTML", "outerHTML", "insertAdjacentHTML", "document.write", "eval(", " style=", " onclick=", "http://", "https://"} {
			assert.Assert(t, !strings.Contains(page.body, forbidden), "%s: %s", path, forbidden)
		}
	}
	assert.Equal(t, send(t, s, "GET", "/page/none.js", "").status, 404)
	assert.Equal(t, send(t, s, "GET", "/page/", "").status, 404)
	assert.Equal(t, send(t, s, "GET", "/v1/table", "").header.Get("Cache-Control"), "no-store")
}

// The script finds what it needs: every element that it looks up stands in the
// page, and every path that it calls is answered.
func TestPageAndScriptFitTogether(t *testing.T) {
	s := start(t)
	page, script := send(t, s, "GET", "/", "").body, send(t, s, "GET", "/page/table.js", "").body
	ids := regexp.MustCompile(`\$\('([a-z]+)'\)`).FindAllStringSubmatch(script, -1)
	assert.Assert(t, len(ids) > 0)
	for _, id := range ids {
		assert.Assert(t, strings.Contains(page, `id="`+id[1]+`"`), id[1])
	}
	paths := regexp.MustCompile(`'(/v1/[a-z]+)(/?)'`).FindAllStringSubmatch(script, -1)
	assert.Assert(t, len(paths) >= 3)
	for _, p := range paths {
		path := p[1]
		if p[2] == "/" {
			path += map[string]string{"/v1/table": "/pool", "/v1/force": "/1"}[p[1]]
		}
		assert.Equal(t, send(t, s, "GET", path, "").status, 200, path)
	}
}
