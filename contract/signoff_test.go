package contract_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile("../examples/" + name)
	assert.NilError(t, err)
	return content
}

// Guards against a bundle accepted without a valid sign-off: no signature, or one by the
// author, by an unknown operator, with another operator's key, for other content, too old,
// or dated in the future.
func TestVerify(t *testing.T) {
	content := example(t, "weavers.yaml")
	by := func(name, key string, at time.Time) contract.SignOff {
		return contract.Sign(content, name, contract.DemoKey(key), at)
	}
	other := contract.Sign(append([]byte{}, content[1:]...), "bashir", contract.DemoKey("bashir"), now)
	renamed := by("bashir", "bashir", now)
	renamed.Operator = "chidinma"
	later := by("bashir", "bashir", now)
	later.At = later.At.Add(time.Second)
	cases := map[string]struct {
		signatures []contract.SignOff
		missing    string
	}{
		"none":                {nil, "0 of 1"},
		"another operator":    {[]contract.SignOff{by("bashir", "bashir", now)}, ""},
		"the author":          {[]contract.SignOff{by("adaeze", "adaeze", now)}, "adaeze is the author"},
		"a stranger":          {[]contract.SignOff{by("mia", "mia", now)}, "not an operator"},
		"another's key":       {[]contract.SignOff{by("bashir", "adaeze", now)}, "does not match"},
		"other content":       {[]contract.SignOff{other}, "does not match"},
		"another's name":      {[]contract.SignOff{renamed}, "does not match"},
		"a changed time":      {[]contract.SignOff{later}, "does not match"},
		"too old":             {[]contract.SignOff{by("bashir", "bashir", now.Add(-25*time.Hour))}, "older than 24h"},
		"from the future":     {[]contract.SignOff{by("bashir", "bashir", now.Add(time.Hour))}, "in the future"},
		"one good among them": {[]contract.SignOff{other, by("chidinma", "chidinma", now)}, ""},
	}
	for name, c := range cases {
		err := contract.Verify(content, c.signatures, nil, now)
		if c.missing == "" {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorIs(t, err, contract.ErrSignOff, name)
		assert.ErrorContains(t, err, c.missing, name)
	}
}

// Guards against a bundle that replaces the operators' keys or lowers the required number of
// signatures for its own sign-off, and against counting one operator's signature twice.
func TestVerifyUsesTheBundleInForce(t *testing.T) {
	text := string(example(t, "weavers.yaml"))
	inForce, err := contract.ParseBundle([]byte(strings.Replace(text, "required: 1", "required: 2", 1)))
	assert.NilError(t, err)
	content := []byte(strings.Replace(strings.Replace(text, "required: 1", "required: 0", 1), "name: bashir\n    public_key: "+contract.DemoKey("bashir").Public(), "name: bashir\n    public_key: "+contract.DemoKey("mallory").Public(), 1))
	forged := contract.Sign(content, "bashir", contract.DemoKey("mallory"), now)
	bashir := contract.Sign(content, "bashir", contract.DemoKey("bashir"), now)
	chidinma := contract.Sign(content, "chidinma", contract.DemoKey("chidinma"), now)
	assert.ErrorContains(t, contract.Verify(content, []contract.SignOff{forged, chidinma}, inForce, now), "1 of 2")
	assert.ErrorContains(t, contract.Verify(content, []contract.SignOff{bashir, bashir}, inForce, now), "1 of 2")
	assert.NilError(t, contract.Verify(content, []contract.SignOff{bashir, chidinma}, inForce, now))
}

// Guards against a private key appearing in formatted output or JSON, and against a key file
// that others can read.
func TestKeysPrintNoSecret(t *testing.T) {
	key := contract.DemoKey("adaeze")
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, contract.WriteKeyFile(path, key))
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	secret := strings.Fields(string(content))[1]
	asJSON, err := json.Marshal(map[string]any{"key": key})
	assert.NilError(t, err)
	for _, text := range []string{fmt.Sprint(key), fmt.Sprintf("%+v %#v %s %v", key, key, key, &key), string(asJSON)} {
		assert.Assert(t, !strings.Contains(text, secret[:16]), text)
		assert.Assert(t, strings.Contains(text, key.Public()), text)
	}
	read, err := contract.ReadKeyFile(path)
	assert.NilError(t, err)
	assert.Equal(t, read.Public(), key.Public())
	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = contract.ReadKeyFile(path)
	assert.Assert(t, errors.Is(err, contract.ErrKeyFileMode), "%v", err)
}

// Guards against the decoders of Validate and ParseBundle disagreeing: a bundle that Validate
// accepts must parse strictly and compile. No input may cause a panic, and no problem may
// quote a key.
func FuzzBundle(f *testing.F) {
	for _, name := range []string{"weavers.yaml", "library-move.yaml"} {
		f.Add(example(f, name))
	}
	f.Add([]byte("name: a\nname: b\n? [x]\n: {y: *z}\n"))
	f.Add([]byte("accounts: [{key_hashes: [secret-key]}]\nmove: {deadline: 2001-01-01T00:00:00Z}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		problems := contract.Validate(content, now)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" || p.Fix == "" {
				t.Fatalf("incomplete problem %+v", p)
			}
			if strings.Contains(p.String(), "secret-key") && !strings.Contains(p.Field, "secret-key") && strings.Contains(p.Field, "key_hashes") {
				t.Fatalf("a key is quoted: %s", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		b, err := contract.ParseBundle(content)
		if err != nil {
			t.Fatalf("valid and does not parse: %v", err)
		}
		again, err := contract.ParseBundle(content)
		if err != nil || !reflect.DeepEqual(b, again) {
			t.Fatalf("parsing is not stable: %v", err)
		}
		contract.Compile(contract.CompileInput{Bundle: b})
	})
}
