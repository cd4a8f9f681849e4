// Package ctl implements snipereachctl, the operators' command line. It reads log
// files and calls the operators' HTTP interface of an entry.
package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
)

// Errors returned by commands.
var (
	ErrRefused = merry.Sentinel("refused")
	ErrServer  = merry.Sentinel("server can't be reached")
	ErrUsage   = merry.Sentinel("usage")
	// ErrUnavailable is returned for status 503, e.g. if no leader answers. An edit
	// may have been made nevertheless.
	ErrUnavailable = merry.Sentinel("unavailable")
)

const requestTimeout = 30 * time.Second

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Server  string `long:"server" env:"SNIPEREACH_SERVER" default:"http://127.0.0.1:8081" description:"an entry's operators' address" value-name:"URL"`
	Key     string `long:"key" env:"SNIPEREACH_KEY" description:"operator's bearer key; better given in the environment" value-name:"KEY"`
	CA      string `long:"ca" env:"SNIPEREACH_CA" description:"file with the CA of the server's certificate, PEM; the system's if not given" value-name:"FILE"`
	Output  string `long:"output" short:"o" choice:"table" choice:"json" choice:"tsv" default:"table" description:"form of the output"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// app holds the global options, the standard streams and the HTTP client, which
// all commands share.
type app struct {
	globalOptions
	stdin          io.Reader
	stdout, stderr io.Writer
	http           *http.Client
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr, http: &http.Client{Timeout: requestTimeout, CheckRedirect: noRedirect}}
	p := flags.NewNamedParser("snipereachctl", flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	p.CommandHandler = runCommand
	if _, err := p.AddGroup("Options", "", &a.globalOptions); err != nil {
		fmt.Fprintln(stderr, err)
		return kernel.ExitFailed
	}
	if err := a.addCommands(p); err != nil {
		fmt.Fprintln(stderr, err)
		return kernel.ExitFailed
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return kernel.ExitOK
	case errors.As(err, &fe) || errors.Is(err, ErrUsage):
		fmt.Fprintln(stderr, "snipereachctl:", err)
		return kernel.ExitSettings
	case err != nil:
		fmt.Fprintln(stderr, "snipereachctl:", err)
		return kernel.ExitFailed
	case a.Version:
		fmt.Fprintln(stdout, "snipereachctl", kernel.Version)
	case len(rest) > 0:
		fmt.Fprintf(stderr, "snipereachctl: unknown command %q; see --help\n", rest[0])
		return kernel.ExitSettings
	case p.Active == nil:
		fmt.Fprintln(stderr, "snipereachctl: a command is needed; see --help")
		return kernel.ExitSettings
	}
	return kernel.ExitOK
}

// noRedirect keeps the client from following redirects: it would follow some with
// a GET, whose response would be taken for that of the edit.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// runCommand runs a command. It refuses surplus arguments: a command given several
// hosts would otherwise apply to the first one only.
func runCommand(c flags.Commander, rest []string) error {
	if c == nil {
		return nil
	}
	if len(rest) > 0 {
		return merry.Prependf(ErrUsage, "unexpected argument %q", rest[0])
	}
	return c.Execute(nil)
}

// request is an HTTP request to the server; body is encoded as JSON.
type request struct {
	method, path string
	header       map[string]string
	body         any
}

// problem holds the members of an RFC 9457 problem details object that are shown.
type problem struct {
	Title   string          `json:"title"`
	Detail  string          `json:"detail"`
	Row     string          `json:"row"`
	Column  string          `json:"column"`
	InForce []operators.Row `json:"in_force"`
}

func (p *problem) message() string {
	parts := []string{p.Title}
	if p.Row != "" {
		parts = append(parts, p.Row)
	}
	if p.Column != "" {
		parts = append(parts, "column "+p.Column)
	}
	if p.Detail != "" {
		parts = append(parts, p.Detail)
	}
	for _, r := range p.InForce {
		parts = append(parts, "\n  in force: "+r.Kind+" "+r.Key+" "+rowText(&r))
	}
	return strings.Join(parts, " ")
}

// sendRequest sends a request and returns the response body. It returns
// ErrUnavailable for status 503, ErrRefused for other statuses of 300 and above,
// and ErrServer if the server can't be reached.
func (a *app) sendRequest(r request) ([]byte, error) {
	var body io.Reader
	if r.body != nil {
		text, err := json.Marshal(r.body)
		if err != nil {
			return nil, merry.Prepend(ErrUsage, err.Error())
		}
		body = strings.NewReader(string(text))
	}
	req, err := http.NewRequest(r.method, strings.TrimSuffix(a.Server, "/")+r.path, body)
	if err != nil {
		return nil, merry.Prepend(ErrUsage, err.Error())
	}
	if err := a.trustCA(); err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, merry.Prepend(ErrServer, err.Error())
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, merry.Prepend(ErrServer, err.Error())
	}
	if resp.StatusCode >= 300 {
		var p problem
		if json.Unmarshal(text, &p) != nil {
			p.Title = resp.Status
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, merry.Prepend(ErrUnavailable, p.message())
		}
		return nil, merry.Prepend(ErrRefused, p.message())
	}
	return text, nil
}

// trustCA makes the client accept only certificates of the given CA, if any.
func (a *app) trustCA() error {
	if a.CA == "" || a.http.Transport != nil {
		return nil
	}
	text, err := os.ReadFile(a.CA)
	if err != nil {
		return merry.Prepend(ErrUsage, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return merry.Prependf(ErrUsage, "%s holds no certificate", a.CA)
	}
	a.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return nil
}

// getJSON requests a path and decodes the JSON response into v.
func (a *app) getJSON(path string, v any) error {
	text, err := a.sendRequest(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, v); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	return nil
}
