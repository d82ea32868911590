package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration that is written with units, such as "30s" or "1h30m".
type Duration time.Duration

// ParseDuration parses a duration. It does not accept a number without a unit.
func ParseDuration(text string) (Duration, error) {
	if isNumber(text) {
		return 0, fmt.Errorf("%q has no unit", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	return Duration(d), nil
}

// String formats the duration as ParseDuration accepts it, without trailing zero units: 10m instead of 10m0s.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := ParseDuration(string(text))
	if err == nil {
		*d = v
	}
	return err
}

// Size is a number of bytes that is written with a unit, such as "4MiB".
type Size int64

// Units of Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

// sizeUnits lists the units from the largest to the smallest, the order in which String tries them. B must be last,
// because ParseSize looks for the units as suffixes and all others end with B.
var sizeUnits = []struct {
	suffix string
	size   Size
}{
	{"GiB", GiB},
	{"MiB", MiB},
	{"KiB", KiB},
	{"B", 1},
}

// ParseSize parses a whole number with the unit B, KiB, MiB or GiB. It does not accept a number without a unit.
func ParseSize(text string) (Size, error) {
	if isNumber(text) {
		return 0, fmt.Errorf("%q has no unit", text)
	}
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(unit.size) {
			break
		}
		return Size(n) * unit.size, nil
	}
	return 0, fmt.Errorf("%q is not a size", text)
}

// String formats the size as ParseSize accepts it, in the largest unit that gives a whole number.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s >= unit.size && s%unit.size == 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := ParseSize(string(text))
	if err == nil {
		*s = v
	}
	return err
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return err == nil
}
