package operators_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The page must not be cached, shown in a frame, or load anything from another
// origin, and text of a row must not become script or markup.
func TestPageSecurityHeaders(t *testing.T) {
	s := start(t)
	for _, path := range []string{"/", "/page/table.css", "/page/table.js"} {
		page := sendRequest(t, s, "GET", path, "", "Authorization", "")
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
	assert.Equal(t, sendRequest(t, s, "GET", "/page/none.js", "").status, 404)
	assert.Equal(t, sendRequest(t, s, "GET", "/page/", "").status, 404)
	assert.Equal(t, sendRequest(t, s, "GET", "/v1/table", "").header.Get("Cache-Control"), "no-store")
}

// Every element ID that the script looks up must exist in the page, and every
// path that it requests must exist.
func TestPageScriptUsesExistingElementsAndPaths(t *testing.T) {
	s := start(t)
	page, script := sendRequest(t, s, "GET", "/", "").body, sendRequest(t, s, "GET", "/page/table.js", "").body
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
		assert.Equal(t, sendRequest(t, s, "GET", path, "").status, 200, path)
	}
}
