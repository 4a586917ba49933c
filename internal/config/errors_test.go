package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// An error about two fields names both by their EDN keys, whatever their Go names are.
func TestFieldComparisonErrors(t *testing.T) {
	text, err := os.ReadFile("../../deploy/plan.edn")
	if err != nil {
		t.Fatal(err)
	}
	controller := strings.Replace(string(text), "\n :rules", "\n"+healthText, 1)
	const control = `:control {:addresses ["127.0.0.1:18000"] :silence 2.0 :back-least 0.2 :back-most 0.1 :patience 5.0 :most-bytes 8000000} :link`
	for _, test := range []struct{ old, new, want string }{
		{":back-most  5.0", ":back-most  0.01", ":sources :back-most: 0.01 must be at least that of :back-least"},
		{":link", control, ":control :back-most: 0.1 must be at least that of :back-least"},
		{":silence 1.0", ":silence 0.1", ":link :silence: 0.1 must be above that of :beat"},
		{":lease   1.0", ":lease 0.1", ":link :lease: 0.1 must be above that of :beat"},
		{":stale 10.0 :weight 1.0", ":stale 1.0 :weight 1.0", ":health :queries 0 :stale: 1 must be above that of :period"},
	} {
		changed := strings.Replace(controller, test.old, test.new, 1)
		if changed == controller {
			t.Fatalf("the settings do not contain %q", test.old)
		}
		_, err := ParseController("plan.edn", []byte(changed))
		if err == nil || !strings.HasSuffix(err.Error(), ": "+test.want) {
			t.Errorf("%q: error %v, want %q", test.new, err, test.want)
		}
	}
}

// Each field that a gtefield or gtfield tag refers to is translated to its own EDN key.
func TestFieldComparisonKeys(t *testing.T) {
	checked := 0
	for _, settings := range []any{Sources{}, Control{}, Link{}, Query{}} {
		fields := reflect.TypeOf(settings)
		for i := range fields.NumField() {
			_, other, found := strings.Cut(fields.Field(i).Tag.Get("validate"), "field=")
			if !found {
				continue
			}
			checked++
			field, exists := fields.FieldByName(other)
			if want := field.Tag.Get("edn"); !exists || keyOfField(other) != want {
				t.Errorf("%v.%s refers to %s, translated to %q, want %q", fields, fields.Field(i).Name, other, keyOfField(other), want)
			}
		}
	}
	if checked != 5 {
		t.Errorf("%d tags checked, want 5", checked)
	}
}
