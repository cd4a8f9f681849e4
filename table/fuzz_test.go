package table

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// ReadTSV must refuse a text, or read rows that are the same after WriteTSV and ReadTSV.
func FuzzReadTSV(f *testing.F) {
	for _, text := range []string{
		"pool\tlm\tslots=8\n", "service\ta\tkind=plain\tpool=lm\n", "# only a comment\n\n",
		"limit\tgrowers/*\trequests_per_second=1e3\n", "team\tt\tkey_sha256=" + string(make([]byte, 64)) + "\n",
		"pool\t\"a\nb\"\n", "pool", "\t\t\t", "pool\tlm\tslots=8\tslots=9\n", "team\tt\tcontact=\"x\"\"y\"\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		rows, err := ReadTSV(bytes.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, WriteTSV(&out, rows))
		again, err := ReadTSV(bytes.NewReader(out.Bytes()))
		assert.NilError(t, err, "%q", out.String())
		var second bytes.Buffer
		assert.NilError(t, WriteTSV(&second, again))
		assert.Equal(t, second.String(), out.String())
	})
}
