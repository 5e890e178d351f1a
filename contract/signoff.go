package contract

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"
)

const publicKeySize = ed25519.PublicKeySize

// signOffContext prefixes the signed bytes, so that a signature made with an operator's key
// for another purpose is never a valid sign-off.
const signOffContext = "toucantiller bundle sign-off v1\x00"

// maxClockSkew is how far the time of a signature may be ahead of the verifier's clock.
const maxClockSkew = time.Minute

// Errors of keys and sign-offs. None of them quotes key material.
var (
	ErrPublicKey   = errors.New("not an ed25519 public key")
	ErrPrivateKey  = errors.New("not a private key file of toucanctl")
	ErrKeyFileMode = errors.New("private key file can be read by others; run chmod 600 on it")
	ErrSignOff     = errors.New("bundle is not signed off")
)

// SignOff is one operator's signature over the exact content of a bundle. It has the
// fields of api.Signature and converts to it.
type SignOff struct {
	Operator  string    `json:"operator"`
	At        time.Time `json:"at"`
	Signature []byte    `json:"signature"`
}

// SigningKey is an operator's private key. Formatting and encoding show only the public key.
type SigningKey struct {
	private ed25519.PrivateKey
}

// GenerateKey returns a new random key.
func GenerateKey() (SigningKey, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return SigningKey{private}, err
}

// Public returns the public key in base64, as bundles state it.
func (k SigningKey) Public() string {
	if len(k.private) != ed25519.PrivateKeySize {
		return ""
	}
	public, _ := k.private.Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public)
}

// Sign signs a message. Callers prefix it with a context that is unique to the use.
func (k SigningKey) Sign(message []byte) []byte { return ed25519.Sign(k.private, message) }

// String returns the public key, so that a printed key reveals nothing.
func (k SigningKey) String() string { return "ed25519 " + k.Public() }

// GoString returns the public key, for %#v.
func (k SigningKey) GoString() string { return k.String() }

// MarshalText returns the public key, for encoders.
func (k SigningKey) MarshalText() ([]byte, error) { return []byte(k.Public()), nil }

const keyFilePrefix = "toucantiller-ed25519-private-key "

// WriteKeyFile writes the private key to a new file with mode 0600. It never
// overwrites a file.
func WriteKeyFile(path string, k SigningKey) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "%s%s\n", keyFilePrefix, base64.StdEncoding.EncodeToString(k.private.Seed()))
	return errors.Join(err, f.Sync(), f.Close())
}

// ReadKeyFile reads a private key. It refuses a file that others can read or write.
func ReadKeyFile(path string) (SigningKey, error) {
	f, err := os.Open(path)
	if err != nil {
		return SigningKey{}, err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return SigningKey{}, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return SigningKey{}, &fs.PathError{Op: "read key", Path: path, Err: ErrKeyFileMode}
	}
	var content [256]byte
	n, _ := f.Read(content[:])
	encoded, ok := strings.CutPrefix(strings.TrimSpace(string(content[:n])), keyFilePrefix)
	seed, err := base64.StdEncoding.Strict().DecodeString(encoded)
	if !ok || err != nil || len(seed) != ed25519.SeedSize {
		return SigningKey{}, &fs.PathError{Op: "read key", Path: path, Err: ErrPrivateKey}
	}
	return SigningKey{ed25519.NewKeyFromSeed(seed)}, nil
}

// signOffBytes returns the bytes that a sign-off signs: context, time, operator and exact
// content. The operator's length is included so that no two inputs have the same encoding.
func signOffBytes(content []byte, operator string, at time.Time) []byte {
	var b bytes.Buffer
	b.WriteString(signOffContext)
	_ = binary.Write(&b, binary.BigEndian, at.UnixNano())
	_ = binary.Write(&b, binary.BigEndian, uint64(len(operator)))
	b.WriteString(operator)
	b.Write(content)
	return b.Bytes()
}

// Sign returns an operator's sign-off of the exact content of a bundle, dated at.
func Sign(content []byte, operator string, key SigningKey, at time.Time) SignOff {
	at = at.UTC()
	return SignOff{Operator: operator, At: at, Signature: key.Sign(signOffBytes(content, operator, at))}
}

// Verify reports whether a bundle is signed off as the rules ask. inForce is the bundle
// in force, whose operators and rule decide, so that a bundle cannot appoint the
// operators that sign it; it is nil for the first bundle. Where both bundles state a
// rule, the stricter one holds. The error wraps ErrSignOff and names what is missing.
func Verify(content []byte, signatures []SignOff, inForce *Bundle, now time.Time) error {
	b, err := ParseBundle(content)
	if err != nil {
		return fmt.Errorf("%w: the content cannot be decoded", ErrSignOff)
	}
	trusted := b
	rule := b.SignOff
	if inForce != nil {
		trusted = inForce
		rule = stricterRule(rule, inForce.SignOff)
	}
	validFor := cmp.Or(rule.ValidFor, DefaultSignOffValidFor)
	signers := make(map[string]bool)
	var faults []string
	for _, s := range signatures {
		if fault := checkSignOff(content, s, b.Author, trusted, validFor, now); fault != "" {
			faults = append(faults, fault)
			continue
		}
		signers[s.Operator] = true
	}
	if len(signers) >= rule.Required {
		return nil
	}
	message := fmt.Sprintf("%d of %d signatures by operators other than the author", len(signers), rule.Required)
	return fmt.Errorf("%w: %s", ErrSignOff, strings.Join(append([]string{message}, faults...), "; "))
}

func stricterRule(a, b SignOffRule) SignOffRule {
	return SignOffRule{
		Required: max(a.Required, b.Required),
		ValidFor: min(cmp.Or(a.ValidFor, DefaultSignOffValidFor), cmp.Or(b.ValidFor, DefaultSignOffValidFor)),
	}
}

// checkSignOff returns what is wrong with one signature, or "".
func checkSignOff(content []byte, s SignOff, author string, trusted *Bundle, validFor time.Duration, now time.Time) string {
	key := trusted.operatorKey(s.Operator)
	switch {
	case s.Operator == author:
		return fmt.Sprintf("%s is the author", s.Operator)
	case key == nil:
		return fmt.Sprintf("%q is not an operator", s.Operator)
	case s.At.After(now.Add(maxClockSkew)):
		return fmt.Sprintf("the signature of %s lies in the future", s.Operator)
	case now.Sub(s.At) > validFor:
		return fmt.Sprintf("the signature of %s is older than %s", s.Operator, validFor)
	case !ed25519.Verify(key, signOffBytes(content, s.Operator, s.At), s.Signature):
		return fmt.Sprintf("the signature of %s does not match the content", s.Operator)
	}
	return ""
}

// operatorKey returns an operator's public key, or nil.
func (b *Bundle) operatorKey(name string) ed25519.PublicKey {
	for _, o := range b.Operator {
		if o.Name == name {
			if key, err := o.Key(); err == nil {
				return key
			}
		}
	}
	return nil
}

// VerifyOperator reports whether signature is the named operator's over message.
func (b *Bundle) VerifyOperator(name string, message, signature []byte) bool {
	key := b.operatorKey(name)
	return key != nil && ed25519.Verify(key, message, signature)
}

// DemoKey returns the key of an operator of the example bundles. Anyone can compute it,
// so it must never be an operator's key outside a demonstration.
func DemoKey(operator string) SigningKey {
	seed := sha256.Sum256([]byte("toucantiller demo operator " + operator))
	return SigningKey{ed25519.NewKeyFromSeed(seed[:])}
}
