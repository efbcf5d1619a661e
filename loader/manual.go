package loader

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Manual returns docs/SETTINGS.md: every field with its default and meaning.
func Manual() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe file given to `fescuethread serve --config`. Unknown fields, ")
	b.WriteString("wrong types, wrong units and values\nthat clash are errors. Durations are ")
	b.WriteString("written like `\"2s\"`, sizes like `\"64KiB\"`.\n")
	v := reflect.ValueOf(Defaults())
	for i := range v.NumField() {
		writeTable(&b, v.Type().Field(i).Tag.Get("toml"), v.Field(i))
	}
	return b.String()
}

func writeTable(b *strings.Builder, table string, v reflect.Value) {
	fmt.Fprintf(b, "\n## [%s]\n\n| field | default | meaning |\n|---|---|---|\n", table)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		value := formatDefault(v.Field(i).Interface())
		fmt.Fprintf(b, "| `%s` | `%s` | %s |\n", f.Tag.Get("toml"), value, f.Tag.Get("doc"))
	}
}

func formatDefault(value interface{}) string {
	text, err := toml.Marshal(struct {
		V interface{} `toml:"v"`
	}{value})
	if err != nil {
		return fmt.Sprint(value)
	}
	return strings.TrimPrefix(strings.TrimSpace(string(text)), "v = ")
}
