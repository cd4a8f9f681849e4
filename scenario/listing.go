package scenario

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// waitListenerClosed waits until an entry accepts no more connections of callers.
func (w *world) waitListenerClosed(name string) error {
	e := w.sys.Entry(name)
	if e == nil {
		return merry.Prependf(ErrScript, "%s is not running", name)
	}
	address := e.CallerAddress()
	return eventually(func() string {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return ""
		}
		_ = conn.Close()
		return name + " still accepts connections"
	})
}

// cmdListed waits until entries are, or if negated are not, in the list that entries
// give to callers.
func (w *world) cmdListed(neg bool, args []string) error {
	o := parseOptions(args)
	names, err := w.expandParts(o.positional...)
	if err != nil {
		return err
	}
	return eventually(func() string {
		via, err := w.pickEntry(o)
		if err != nil {
			return err.Error()
		}
		listed, err := w.listedEntries(via)
		if err != nil {
			return err.Error()
		}
		for _, name := range names {
			if slices.Contains(listed, name) == neg {
				return fmt.Sprintf("%s lists %v", via, listed)
			}
		}
		return ""
	})
}

// waitGranting waits until an entry's claim register may grant any key.
func (w *world) waitGranting(name string) error {
	return eventually(func() string {
		if e := w.sys.Entry(name); e == nil || !e.CanGrantClaims() {
			return name + " grants no claims yet"
		}
		return ""
	})
}

func (w *world) listedEntries(via string) ([]string, error) {
	e := w.sys.Entry(via)
	if e == nil {
		return nil, merry.Prependf(ErrScript, "%s is not running", via)
	}
	resp, err := w.client.Get("http://" + e.CallerAddress() + "/v1/entries")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			ID string `json:"id"`
		} `json:"entries"`
	}
	err = json.NewDecoder(resp.Body).Decode(&list)
	var ids []string
	for _, x := range list.Entries {
		ids = append(ids, x.ID)
	}
	return ids, err
}

// cmdUpstreams waits until every running entry, or the one named by via, sees N
// upstreams of a pool.
func (w *world) cmdUpstreams(_ bool, args []string) error {
	o := parseOptions(args)
	if len(o.positional) != 2 {
		return merry.Prepend(ErrScript, "upstreams POOL N [via=ENTRY]")
	}
	n, err := strconv.Atoi(o.positional[1])
	if err != nil {
		return err
	}
	return eventually(func() string {
		names := w.runningEntries()
		if via := o.values["via"]; via != "" {
			if names, err = w.expandParts(via); err != nil {
				return err.Error()
			}
		}
		for _, name := range names {
			if e := w.sys.Entry(name); e != nil && e.UpstreamCounts()[o.positional[0]] != n {
				return fmt.Sprintf("%s sees %v", name, e.UpstreamCounts())
			}
		}
		return ""
	})
}
