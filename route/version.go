package route

import (
	"fmt"
	"strconv"
)

// OptionalVersion is the version of a configuration, or none. Version zero is legal, so it
// can't stand for none. In JSON it is a number, or null.
type OptionalVersion struct {
	Known  bool
	Number uint64
}

// noVersion is no version in JSON.
const noVersion = "null"

// KnownVersion returns a version that is known.
func KnownVersion(number uint64) OptionalVersion { return OptionalVersion{Known: true, Number: number} }

// VersionOf returns the version of a configuration, or none for nil.
func VersionOf(c *Configuration) OptionalVersion {
	if c == nil {
		return OptionalVersion{}
	}
	return KnownVersion(c.Version)
}

// OlderThan reports whether a version would replace this one. Any version replaces none.
func (v OptionalVersion) OlderThan(version uint64) bool { return !v.Known || v.Number < version }

// Later returns the higher one of two versions.
func (v OptionalVersion) Later(other OptionalVersion) OptionalVersion {
	if other.Known && v.OlderThan(other.Number) {
		return other
	}
	return v
}

// IsZero reports whether there is no version, so that it can be left out of JSON.
func (v OptionalVersion) IsZero() bool { return !v.Known }

// String implements fmt.Stringer.
func (v OptionalVersion) String() string {
	if !v.Known {
		return "none"
	}
	return strconv.FormatUint(v.Number, 10)
}

// MarshalJSON implements json.Marshaler.
func (v OptionalVersion) MarshalJSON() ([]byte, error) {
	if !v.Known {
		return []byte(noVersion), nil
	}
	return strconv.AppendUint(nil, v.Number, 10), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *OptionalVersion) UnmarshalJSON(data []byte) error {
	*v = OptionalVersion{}
	if string(data) == noVersion {
		return nil
	}
	number, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return fmt.Errorf("decode version: %w", err)
	}
	*v = KnownVersion(number)
	return nil
}
