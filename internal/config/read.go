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

// maxFile bounds what is read: a settings file with thousands of replicas and pools is smaller.
const maxFile = 1 << 20

// quantity is the text of a value with a unit. It accepts any scalar, so that a wrong one is reported together
// with all other problems instead of ending the decoding.
type quantity string

// UnmarshalText implements encoding.TextUnmarshaler.
func (q *quantity) UnmarshalText(text []byte) error {
	*q = quantity(text)
	return nil
}

// document is the shape of the file.
type document struct {
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
		StoredAnswer quantity `toml:"stored_answer"`
		Drain        quantity `toml:"drain"`
		ReadTimeout  quantity `toml:"read_timeout"`
		IdleTimeout  quantity `toml:"idle_timeout"`
	} `toml:"limits"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
}

// Read reads the settings file at path without checking it. It fails only if the file cannot be read or is not
// TOML of the right types; Check reports everything else, unknown keys included.
func Read(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "give the settings file with --config, or write one with filbertledge config init",
			"cannot read the settings")
	}
	if len(data) > maxFile {
		return nil, errs.New(errs.ConfigInvalid, "give a settings file", "%s has %d bytes, more than %d", path, len(data), maxFile)
	}
	r := &report{file: path}
	var d document
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&d)
	var unknown *toml.StrictMissingError
	switch {
	case errors.As(err, &unknown):
		r.unknownKeys(unknown)
	case err != nil:
		return nil, syntaxError(path, err)
	}
	c := d.config(r)
	c.File = path
	c.found = r.problems
	return c, nil
}

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

func (r *report) unknownKeys(list *toml.StrictMissingError) {
	for _, e := range list.Errors {
		line, _ := e.Position()
		key := e.Key()
		remedy := "remove it, or correct its spelling"
		if known := knownKeys(reflect.TypeFor[document](), key[:len(key)-1]); len(known) > 0 {
			remedy += "; known are " + strings.Join(known, ", ")
		}
		r.add(strings.Join(key, "."), remedy, "unknown key in line %d", line)
	}
}

// knownKeys returns the keys of the section at path.
func knownKeys(t reflect.Type, path []string) []string {
	for _, name := range path {
		field, ok := fieldOf(t, name)
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

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
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

// config converts the document and sets defaults. Values that cannot be converted are reported.
func (d *document) config(r *report) *Config {
	dir := filepath.Dir(r.file)
	c := &Config{
		VM:      VM{api.VMID(d.VM.Name), api.FailureDomain(d.VM.FailureDomain), resolve(dir, d.VM.DataDir)},
		Listen:  Listen{d.Listen.HTTP, d.Listen.Internal, d.Listen.Metrics},
		TLS:     TLS{resolve(dir, d.TLS.CA), resolve(dir, d.TLS.Cert), resolve(dir, d.TLS.Key)},
		Weights: Weights{Store: d.Weights.Store, Rate: r.size("weights.rate", d.Weights.Rate, DefaultRate)},
		Limits: Limits{
			Body:         r.size("limits.body", d.Limits.Body, DefaultBody),
			Header:       r.size("limits.header", d.Limits.Header, DefaultHeader),
			StoredAnswer: r.size("limits.stored_answer", d.Limits.StoredAnswer, DefaultStoredAnswer),
			Drain:        r.duration("limits.drain", d.Limits.Drain, DefaultDrain),
			ReadTimeout:  r.duration("limits.read_timeout", d.Limits.ReadTimeout, DefaultReadTimeout),
			IdleTimeout:  r.duration("limits.idle_timeout", d.Limits.IdleTimeout, DefaultIdleTimeout),
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

// size returns the default for an absent or wrong value, so that a wrong one is reported only once.
func (r *report) size(key string, text quantity, byDefault Size) Size {
	if text == "" {
		return byDefault
	}
	v, err := ParseSize(string(text))
	if err != nil {
		r.add(key, `write a whole number with B, KiB, MiB or GiB, such as "`+byDefault.String()+`"`, "%v", err)
		return byDefault
	}
	return v
}

func (r *report) duration(key string, text quantity, byDefault Duration) Duration {
	if text == "" {
		return byDefault
	}
	v, err := ParseDuration(string(text))
	if err != nil {
		r.add(key, `write a number with ms, s, m or h, such as "`+byDefault.String()+`"`, "%v", err)
		return byDefault
	}
	return v
}
