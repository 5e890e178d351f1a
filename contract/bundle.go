package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/goccy/go-yaml"
)

// Bundle is the document that operators write, sign off and apply. It is YAML; the
// exact bytes are what is signed.
type Bundle struct {
	Name    string `yaml:"name"`
	Version uint64 `yaml:"version"`
	// Author names the operator who wrote the bundle.
	Author string `yaml:"author"`
	// SignOff states how many operators other than the author must sign.
	SignOff  SignOffRule    `yaml:"sign_off"`
	Tiers    []TierSpec     `yaml:"tiers"`
	Accounts []AccountSpec  `yaml:"accounts"`
	Domains  []DomainSpec   `yaml:"failure_domains"`
	Services []ServiceSpec  `yaml:"services"`
	Move     *MoveSpec      `yaml:"move"`
	Operator []OperatorSpec `yaml:"operators"`
	// ServeStale is how long a process that has lost contact with control keeps accepting
	// requests; 10m by default.
	ServeStale time.Duration `yaml:"serve_stale"`
}

// SignOffRule states who must sign a bundle.
type SignOffRule struct {
	// Required is the number of signatures by operators other than the author.
	Required int `yaml:"required"`
	// ValidFor is how long a signature is accepted after it was made; 24h by default.
	ValidFor time.Duration `yaml:"valid_for"`
}

// OperatorSpec names an operator and an ed25519 public key in base64.
type OperatorSpec struct {
	Name      string `yaml:"name"`
	PublicKey string `yaml:"public_key"`
}

// TierSpec is one tier; tiers are listed from the highest down.
type TierSpec struct {
	Name         string        `yaml:"name"`
	MaxQueueTime time.Duration `yaml:"max_queue_time"`
	FirstToken   time.Duration `yaml:"first_token"`
}

// AccountSpec is one client account. Keys appear only as hashes.
type AccountSpec struct {
	Name              string   `yaml:"name"`
	KeyHashes         []string `yaml:"key_hashes"`
	Tier              string   `yaml:"tier"`
	Weight            float64  `yaml:"weight"`
	RequestsPerSecond float64  `yaml:"requests_per_second"`
	Burst             int      `yaml:"burst"`
	MaxConcurrent     int      `yaml:"max_concurrent"`
	Services          []string `yaml:"services"`
}

// DomainSpec is one failure domain.
type DomainSpec struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// ServiceSpec is one service.
type ServiceSpec struct {
	Name        string        `yaml:"name"`
	Kind        Kind          `yaml:"kind"`
	Models      []string      `yaml:"models"`
	Version     string        `yaml:"version"`
	Routes      []RouteSpec   `yaml:"routes"`
	MaxBody     int64         `yaml:"max_body"`
	QueueLength int           `yaml:"queue_length"`
	Timeout     time.Duration `yaml:"timeout"`
}

// RouteSpec states the rules of one route.
type RouteSpec struct {
	Name       string        `yaml:"name"`
	Method     string        `yaml:"method"`
	Path       string        `yaml:"path"`
	Idempotent bool          `yaml:"idempotent"`
	ClaimTTL   time.Duration `yaml:"claim_ttl"`
}

// MoveSpec requests that a service be moved from one version to another by a deadline.
type MoveSpec struct {
	Service string `yaml:"service"`
	From    string `yaml:"from"`
	To      string `yaml:"to"`
	// Deadline is the time by which the new version must have all traffic, in RFC 3339;
	// exclusive with Within.
	Deadline time.Time `yaml:"deadline"`
	// Within is the time allowed from when the bundle is applied; exclusive with Deadline.
	Within time.Duration `yaml:"within"`
	// Watch is how long the old version stays warm after the new one has all traffic.
	Watch time.Duration `yaml:"watch"`
}

// ParseBundle decodes a bundle strictly: unknown and duplicate fields are errors
// that name line and column.
func ParseBundle(content []byte) (*Bundle, error) {
	var b Bundle
	if err := yaml.UnmarshalWithOptions(content, &b, yaml.Strict()); err != nil {
		return nil, err
	}
	return &b, nil
}

// Digest returns the SHA-256 of a bundle's exact content in hex.
func Digest(content []byte) string {
	h := sha256.Sum256(content)
	return hex.EncodeToString(h[:])
}
