package main

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/snipereach/snipereach/kernel"
)

// key describes one settings key.
type key struct {
	section, name, typeName, defaultText string
}

// keysOf returns the keys of a settings struct in the order of its fields, followed by
// those of its sections: nested structs, lists of structs and plug-in maps.
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
				// This program doesn't have the section.
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
			keys = append(keys, key{section, name, typeNameOf(f), defaultOf(f)})
		}
	}
	return append(keys, sections...)
}

// pluginKeys returns the keys of all plug-ins of a namespace, each once.
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

// embeddedKeys returns the keys of a plug-in and of the structs that it embeds.
func embeddedKeys(v reflect.Value, section string) []key {
	keys := keysOf(v, section)
	for i := range v.NumField() {
		if v.Type().Field(i).Anonymous && v.Field(i).Kind() == reflect.Struct {
			keys = append(keys, embeddedKeys(v.Field(i), section)...)
		}
	}
	return keys
}

func typeNameOf(v reflect.Value) string {
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
		return fmt.Sprintf("%q", trimZeroUnits(d.D().String()))
	}
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Slice:
		return "[]"
	}
	return fmt.Sprint(v.Interface())
}

// trimZeroUnits removes trailing zero units of a duration: 5m0s becomes 5m.
func trimZeroUnits(d string) string {
	if strings.HasSuffix(d, "m0s") {
		d = strings.TrimSuffix(d, "0s")
	}
	if strings.HasSuffix(d, "h0m") {
		d = strings.TrimSuffix(d, "0m")
	}
	return d
}
