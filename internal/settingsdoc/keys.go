package main

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/snipereach/snipereach/kernel"
)

// key is one setting as its struct has it.
type key struct {
	section, name, kind, def string
}

// keysOf lists the settings of a struct in the order of its fields. A section is
// a nested struct, a list of structs or a plug-in's map.
func keysOf(v reflect.Value, section string) []key {
	var keys, sections []key
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		f := v.Field(i)
		if f.Kind() == reflect.Pointer {
			if f.IsNil() {
				// A section that this program doesn't offer.
				continue
			}
			f = f.Elem()
		}
		switch {
		case f.Kind() == reflect.Struct:
			sections = append(sections, keysOf(f, name)...)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			sections = append(sections, keysOf(reflect.New(f.Type().Elem()).Elem(), name)...)
		case f.Kind() == reflect.Map:
			sections = append(sections, pluginKeys(name)...)
		default:
			keys = append(keys, key{section, name, kindOf(f), defaultOf(f)})
		}
	}
	return append(keys, sections...)
}

// pluginKeys lists the settings that the plug-ins of a namespace take, by key.
func pluginKeys(namespace string) []key {
	var keys []key
	seen := map[string]bool{}
	for _, m := range kernel.Modules(namespace) {
		for _, k := range embeddedKeys(reflect.ValueOf(m.New()).Elem(), namespace) {
			if !seen[k.name] {
				keys = append(keys, k)
			}
			seen[k.name] = true
		}
	}
	return keys
}

// embeddedKeys lists a plug-in's settings and those of the structs it embeds.
func embeddedKeys(v reflect.Value, section string) []key {
	keys := keysOf(v, section)
	for i := range v.NumField() {
		if v.Type().Field(i).Anonymous && v.Field(i).Kind() == reflect.Struct {
			keys = append(keys, embeddedKeys(v.Field(i), section)...)
		}
	}
	return keys
}

func kindOf(v reflect.Value) string {
	if v.Type() == reflect.TypeFor[kernel.Duration]() {
		return "duration"
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Slice:
		return "list"
	}
	return "number"
}

func defaultOf(v reflect.Value) string {
	if d, ok := v.Interface().(kernel.Duration); ok {
		return fmt.Sprintf("%q", tidy(d.D().String()))
	}
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Slice:
		return "[]"
	}
	return fmt.Sprint(v.Interface())
}

// tidy writes 5m0s as 5m.
func tidy(d string) string {
	if strings.HasSuffix(d, "m0s") {
		d = strings.TrimSuffix(d, "0s")
	}
	if strings.HasSuffix(d, "h0m") {
		d = strings.TrimSuffix(d, "0m")
	}
	return d
}
