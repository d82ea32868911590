package config

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// maxFileBytes limits the size of a settings file. A file with thousands of replicas and pools is smaller.
const maxFileBytes = 1 << 20

// quantity is the unparsed text of a size or a duration. It decodes any TOML scalar, so that a malformed value does not
// stop the decoder and is reported together with all other problems.
type quantity string

// UnmarshalText implements encoding.TextUnmarshaler.
func (q *quantity) UnmarshalText(text []byte) error {
	*q = quantity(text)
	return nil
}

// settingsDocument is the structure of a settings file.
type settingsDocument struct {
	VM struct {
		Name          string `toml:"name"`
		FailureDomain string `toml:"failure_domain"`
		DataDir       string `toml:"data_dir"`
	} `toml:"vm"`
	Listen struct {
		HTTP     string `toml:"http"`
		Internal string `toml:"internal"`
		Metrics  string `toml:"metrics"`
	} `toml:"listen"`
	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Control struct {
		Replicas []struct {
			Name          string `toml:"name"`
			Address       string `toml:"address"`
			FailureDomain string `toml:"failure_domain"`
		} `toml:"replicas"`
	} `toml:"control"`
	Pools []struct {
		Name        string `toml:"name"`
		TokenSHA256 string `toml:"token_sha256"`
	} `toml:"pools"`
	Weights struct {
		Store string   `toml:"store"`
		Rate  quantity `toml:"rate"`
	} `toml:"weights"`
	Limits struct {
		Body         quantity `toml:"body"`
		Header       quantity `toml:"header"`
		CallerMemory quantity `toml:"caller_memory"`
		StoredAnswer quantity `toml:"stored_answer"`
		Drain        quantity `toml:"drain"`
		ReadTimeout  quantity `toml:"read_timeout"`
		IdleTimeout  quantity `toml:"idle_timeout"`
	} `toml:"limits"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
}

// Read reads the settings file at path without checking it. It fails only if the file cannot be read, is not valid TOML
// or has values of a wrong type. All other problems, including unknown keys, are reported by Check.
func Read(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "give the settings file with --config, or write one with filbertledge config init",
			"cannot read the settings")
	}
	if len(data) > maxFileBytes {
		return nil, errs.New(errs.ConfigInvalid, "give a settings file", "%s has %d bytes, more than %d", path, len(data), maxFileBytes)
	}
	r := &checker{file: path}
	var d settingsDocument
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&d)
	var unknown *toml.StrictMissingError
	switch {
	case errors.As(err, &unknown):
		r.addUnknownKeys(unknown)
	case err != nil:
		return nil, syntaxError(path, err)
	}
	c := d.config(r)
	c.File = path
	c.readProblems = r.problems
	return c, nil
}

// syntaxError names the position and the key at which decoding failed.
func syntaxError(path string, err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return errs.Wrap(err, errs.ConfigInvalid, "correct the file", "%s is not valid TOML", path)
	}
	line, column := decode.Position()
	key := strings.Join(decode.Key(), ".")
	if key != "" {
		key += ": "
	}
	return errs.New(errs.ConfigInvalid, "correct the value; docs/SETTINGS.md shows each key", "%s:%d:%d: %s%s",
		path, line, column, key, strings.TrimPrefix(decode.Error(), "toml: "))
}

func (r *checker) addUnknownKeys(list *toml.StrictMissingError) {
	for _, e := range list.Errors {
		line, _ := e.Position()
		key := e.Key()
		remedy := "remove it, or correct its spelling"
		if known := knownKeys(reflect.TypeFor[settingsDocument](), key[:len(key)-1]); len(known) > 0 {
			remedy += "; known are " + strings.Join(known, ", ")
		}
		r.add(strings.Join(key, "."), remedy, "unknown key in line %d", line)
	}
}

// knownKeys returns the keys that exist in the section at path, or nil if there is no such section.
func knownKeys(t reflect.Type, path []string) []string {
	for _, name := range path {
		field, ok := fieldByKey(t, name)
		if !ok {
			return nil
		}
		t = field.Type
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var out []string
	for field := range t.Fields() {
		out = append(out, field.Tag.Get("toml"))
	}
	return out
}

// fieldByKey returns the field of the struct type t with the TOML key name.
func fieldByKey(t reflect.Type, name string) (reflect.StructField, bool) {
	if t.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	for field := range t.Fields() {
		if field.Tag.Get("toml") == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// config converts the document to a Config with defaults for absent values. Values that cannot be converted are added
// to r as problems.
func (d *settingsDocument) config(r *checker) *Config {
	dir := filepath.Dir(r.file)
	c := &Config{
		VM:      VM{api.VMID(d.VM.Name), api.FailureDomain(d.VM.FailureDomain), resolvePath(dir, d.VM.DataDir)},
		Listen:  Listen{d.Listen.HTTP, d.Listen.Internal, d.Listen.Metrics},
		TLS:     TLS{resolvePath(dir, d.TLS.CA), resolvePath(dir, d.TLS.Cert), resolvePath(dir, d.TLS.Key)},
		Weights: Weights{Store: d.Weights.Store, Rate: r.parseSize("weights.rate", d.Weights.Rate, DefaultRate)},
		Limits: Limits{
			Body:         r.parseSize("limits.body", d.Limits.Body, DefaultBody),
			Header:       r.parseSize("limits.header", d.Limits.Header, DefaultHeader),
			CallerMemory: r.parseSize("limits.caller_memory", d.Limits.CallerMemory, DefaultCallerMemory),
			StoredAnswer: r.parseSize("limits.stored_answer", d.Limits.StoredAnswer, DefaultStoredAnswer),
			Drain:        r.parseDuration("limits.drain", d.Limits.Drain, DefaultDrain),
			ReadTimeout:  r.parseDuration("limits.read_timeout", d.Limits.ReadTimeout, DefaultReadTimeout),
			IdleTimeout:  r.parseDuration("limits.idle_timeout", d.Limits.IdleTimeout, DefaultIdleTimeout),
		},
		Log: Log{Level: d.Log.Level},
	}
	if c.Log.Level == "" {
		c.Log.Level = DefaultLevel
	}
	for _, p := range d.Pools {
		c.Pools = append(c.Pools, Pool{api.Pool(p.Name), p.TokenSHA256})
	}
	for _, p := range d.Control.Replicas {
		c.Control.Replicas = append(c.Control.Replicas, Replica{api.VMID(p.Name), p.Address, api.FailureDomain(p.FailureDomain)})
	}
	return c
}

// parseSize returns the default if the value is absent or malformed. A malformed value is thus reported only here and
// not again by the check of its range.
func (r *checker) parseSize(key string, text quantity, defaultValue Size) Size {
	if text == "" {
		return defaultValue
	}
	v, err := ParseSize(string(text))
	if err != nil {
		r.add(key, `write a whole number with B, KiB, MiB or GiB, such as "`+defaultValue.String()+`"`, "%v", err)
		return defaultValue
	}
	return v
}

// parseDuration is parseSize for durations.
func (r *checker) parseDuration(key string, text quantity, defaultValue Duration) Duration {
	if text == "" {
		return defaultValue
	}
	v, err := ParseDuration(string(text))
	if err != nil {
		r.add(key, `write a number with ms, s, m or h, such as "`+defaultValue.String()+`"`, "%v", err)
		return defaultValue
	}
	return v
}
