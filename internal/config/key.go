package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDomain separates key hashes from hashes of other data.
const keyDomain = "buckthornseam key v1\x00"

// HashKey returns the stored form of a key: a hexadecimal SHA-256 sum. Keys
// are generated with 256 random bits, so an unsalted hash cannot be searched.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(keyDomain + key))
	return hex.EncodeToString(sum[:])
}
