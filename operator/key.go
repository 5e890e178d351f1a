package operator

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"io"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
)

type keyGenerateCmd struct {
	Out    string `help:"File for an operator's new private key; it must not exist." env:"TOUCAN_OUT" type:"path" xor:"kind" required:""`
	Caller bool   `help:"Print a new bearer key for a client account and its hash." env:"TOUCAN_CALLER" xor:"kind" required:""`
	Demo   string `help:"Write the key of this operator of the example bundles instead of a random one. For demonstrations only: anyone can compute it." env:"TOUCAN_DEMO" placeholder:"NAME"`
}

type operatorKey struct {
	File   string `json:"file"`
	Public string `json:"public_key"`
}

func (r *operatorKey) text(w io.Writer) {
	line(w, "private key: %s (mode 0600)", r.File)
	line(w, "public_key: %s", r.Public)
}

type callerKey struct {
	Key  string `json:"key"`
	Hash string `json:"key_hash"`
}

func (r *callerKey) text(w io.Writer) {
	line(w, "key: %s", r.Key)
	line(w, "key_hash: %s", r.Hash)
	line(w, "The key is shown only here. The bundle holds the hash.")
}

// callerKeyBytes is the entropy of a caller's key.
const callerKeyBytes = 32

// Run generates a key.
func (c *keyGenerateCmd) Run(s *session) error {
	if c.Caller {
		if c.Demo != "" {
			return usageError{errors.New("--demo goes with --out only")}
		}
		var b [callerKeyBytes]byte
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
		key := "tt-" + base64.RawURLEncoding.EncodeToString(b[:])
		return s.print(&callerKey{Key: key, Hash: account.HashKey(key)})
	}
	key, err := contract.GenerateKey()
	if err != nil {
		return err
	}
	if c.Demo != "" {
		key = contract.DemoKey(c.Demo)
	}
	if err := contract.WriteKeyFile(c.Out, key); err != nil {
		return err
	}
	return s.print(&operatorKey{File: c.Out, Public: key.Public()})
}
