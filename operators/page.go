package operators

import (
	"embed"
	"io/fs"
	"net/http"

	"github.com/gorilla/mux"
)

//go:embed page
var pageFiles embed.FS

// pagePolicy lets the page load its own script and style and talk to its own
// address. Text in a row that looks like script or markup is not run.
const pagePolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// registerPage adds the page: a grid of the table's rows by kind.
func registerPage(r *mux.Router) {
	files := http.FileServerFS(pageFiles)
	r.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		pageHeaders(w)
		http.ServeFileFS(w, r, pageFiles, "page/table.html")
	}).Methods(http.MethodGet)
	r.HandleFunc("/page/{file}", func(w http.ResponseWriter, r *http.Request) {
		if _, err := fs.Stat(pageFiles, r.URL.Path[1:]); err != nil {
			http.NotFound(w, r)
			return
		}
		pageHeaders(w)
		files.ServeHTTP(w, r)
	}).Methods(http.MethodGet)
}

func pageHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Security-Policy", pagePolicy)
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
}
