// Package account describes client accounts and tiers.
package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tier is the rank of a tier; 0 is the highest.
type Tier int

// Account is a client account in the configuration.
type Account struct {
	Name string `msgpack:"name" json:"name"`
	// KeyHashes holds the hashes of the account's bearer keys, as returned by HashKey.
	KeyHashes []string `msgpack:"key_hashes" json:"key_hashes"`
	// Tier is the highest tier the account may use.
	Tier Tier `msgpack:"tier" json:"tier"`
	// Weight is the account's share within its tier; 0 means that none is set.
	Weight float64 `msgpack:"weight" json:"weight"`
	// RequestsPerSecond and Burst bound the account's request rate; 0 means no bound.
	RequestsPerSecond float64 `msgpack:"requests_per_second" json:"requests_per_second"`
	Burst             int     `msgpack:"burst" json:"burst"`
	// MaxConcurrent bounds open requests per gateway; 0 means no bound.
	MaxConcurrent int `msgpack:"max_concurrent" json:"max_concurrent"`
	// TokensPerSecond and TokenBurst bound the account's token rate over all gateways; 0
	// means no bound.
	TokensPerSecond float64 `msgpack:"tokens_per_second" json:"tokens_per_second"`
	TokenBurst      float64 `msgpack:"token_burst" json:"token_burst"`
	// PlainTokens is the number of tokens charged for a request that states none.
	PlainTokens int `msgpack:"plain_tokens" json:"plain_tokens"`
	// CountRequests is set where every request counts as one token, whatever its size.
	CountRequests bool `msgpack:"count_requests" json:"count_requests"`
	// OwnTier is set where Tier takes precedence over the tier of a route.
	OwnTier bool `msgpack:"own_tier" json:"own_tier"`
	// Services lists the names of the services that the account may call; empty means all.
	Services []string `msgpack:"services" json:"services"`
}

// HashKey returns the SHA-256 of a bearer key in hex. Keys are long random strings, so a hash
// without salt resists guessing.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// MayCall reports whether the account may call the service.
func (a *Account) MayCall(service string) bool {
	if len(a.Services) == 0 {
		return true
	}
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return false
}
