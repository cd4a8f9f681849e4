package operators

import (
	"embed"
	"io/fs"
	"net/http"

	"github.com/gorilla/mux"
)

//go:embed page
var pageFiles embed.FS

// contentSecurityPolicy lets the page load scripts and styles from and connect to
// its own origin only. It blocks inline scripts, so that text of a row can't be run
// as one.
const contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// registerPage adds the routes of the web page that edits the rows of the table.
func registerPage(r *mux.Router) {
	files := http.FileServerFS(pageFiles)
	r.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		setPageHeaders(w)
		http.ServeFileFS(w, r, pageFiles, "page/table.html")
	}).Methods(http.MethodGet)
	r.HandleFunc("/page/{file}", func(w http.ResponseWriter, r *http.Request) {
		if _, err := fs.Stat(pageFiles, r.URL.Path[1:]); err != nil {
			http.NotFound(w, r)
			return
		}
		setPageHeaders(w)
		files.ServeHTTP(w, r)
	}).Methods(http.MethodGet)
}

func setPageHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Security-Policy", contentSecurityPolicy)
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
}
