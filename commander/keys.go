package commander

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/storer"
)

func init() {
	register(newKeys)
}

const keysHelp = `Keys grants, withdraws, rotates and lists keys. The platform holds digests only;
a new key is printed once, on standard output, and nowhere else. A grant or a withdrawal
is accepted when the command ends with exit code 0; hosts follow within seconds.`

func newKeys(env Environment, opts *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Grant, withdraw, rotate and list customers' keys",
		Long:  keysHelp,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newKeysGrant(env, opts), newKeysWithdraw(env, opts))
	cmd.AddCommand(newKeysRotate(env, opts), newKeysList(env, opts))
	return cmd
}

type keyResult struct {
	Key     string `json:"key,omitempty"`
	Digest  string `json:"digest"`
	Version uint64 `json:"version"`
}

func (r keyResult) text() string {
	if r.Key != "" {
		return r.Key + "\n"
	}
	return fmt.Sprintf("withdrawn in version %d: %s\n", r.Version, r.Digest)
}

func newKeysGrant(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "grant CUSTOMER",
		Short:   "Make a key for a customer and print it once",
		Example: "  fescuethread keys grant --platform 127.0.0.1:7000 mill",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withPlatform(func(s *storer.Client) error {
				inv, err := currentInventory(cmd, s)
				if err != nil {
					return err
				}
				if _, ok := inv.Customer(args[0]); !ok {
					cause := errors.Errorf("the inventory names no customer %q", args[0])
					return &Error{Op: "grant", Kind: KindInput, Err: cause}
				}
				return makeKey(cmd, env, opts, s, "keys-grant",
					func(d *authenticator.Document, next authenticator.Digest) (
						*authenticator.Document, error,
					) {
						return d.WithGrant(next, args[0])
					})
			})
		},
	}
}

func newKeysRotate(env Environment, opts *options) *cobra.Command {
	var key, digest string
	cmd := &cobra.Command{
		Use:   "rotate {--key KEY | --digest DIGEST}",
		Short: "Make a key beside an old one, which goes on working until it is withdrawn",
		Example: "  fescuethread keys rotate --platform 127.0.0.1:7000 --key \"$KEY\"\n" +
			"  fescuethread keys rotate --platform 127.0.0.1:7000 --digest 9f86d0…",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			old, err := chosenDigest(key, digest)
			if err != nil {
				return err
			}
			return opts.withPlatform(func(s *storer.Client) error {
				return makeKey(cmd, env, opts, s, "keys-rotate",
					func(d *authenticator.Document, next authenticator.Digest) (
						*authenticator.Document, error,
					) {
						return d.WithRotation(old, next)
					})
			})
		},
	}
	addDigestFlags(cmd, &key, &digest)
	return cmd
}

// makeKey makes a key, writes the document that edit returns for it and prints the key.
func makeKey(
	cmd *cobra.Command, env Environment, opts *options, s *storer.Client, command string,
	edit func(*authenticator.Document, authenticator.Digest) (*authenticator.Document, error),
) error {
	key, err := authenticator.Generate()
	if err != nil {
		return failed("generate", err)
	}
	digest := authenticator.DigestOf(key)
	o, err := updateKeys(cmd, s, command, func(d *authenticator.Document) (
		*authenticator.Document, error,
	) {
		return edit(d, digest)
	})
	if err != nil {
		return err
	}
	return opts.print(env.Out, keyResult{Key: key, Digest: digest.String(), Version: o.Version})
}

func newKeysWithdraw(env Environment, opts *options) *cobra.Command {
	var key, digest string
	cmd := &cobra.Command{
		Use:     "withdraw {--key KEY | --digest DIGEST}",
		Short:   "Withdraw a key for good",
		Example: "  fescuethread keys withdraw --platform 127.0.0.1:7000 --digest 9f86d0…",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			chosen, err := chosenDigest(key, digest)
			if err != nil {
				return err
			}
			return opts.withPlatform(func(s *storer.Client) error {
				o, err := updateKeys(cmd, s, "keys-withdraw", func(d *authenticator.Document) (
					*authenticator.Document, error,
				) {
					return d.WithWithdrawal(chosen)
				})
				if err != nil {
					return err
				}
				return opts.print(env.Out, keyResult{Digest: chosen.String(), Version: o.Version})
			})
		},
	}
	addDigestFlags(cmd, &key, &digest)
	return cmd
}

func addDigestFlags(cmd *cobra.Command, key, digest *string) {
	cmd.Flags().StringVar(key, "key", "", "the key itself")
	cmd.Flags().StringVar(digest, "digest", "", "the key's digest, as keys list prints it")
	cmd.MarkFlagsOneRequired("key", "digest")
	cmd.MarkFlagsMutuallyExclusive("key", "digest")
}

func chosenDigest(key, digest string) (authenticator.Digest, error) {
	if key != "" {
		return authenticator.DigestOf(key), nil
	}
	d, err := authenticator.ParseDigest(digest)
	if err != nil {
		return d, &Error{Op: "arguments", Kind: KindUsage, Err: err}
	}
	return d, nil
}

// updateKeys edits the document of keys.
func updateKeys(
	cmd *cobra.Command, s *storer.Client, command string,
	edit func(*authenticator.Document) (*authenticator.Document, error),
) (storer.Object, error) {
	return update(cmd.Context(), s, documentKeys, command, func(body []byte) ([]byte, error) {
		d, err := parseKeys(body)
		if err != nil {
			return nil, err
		}
		next, err := edit(d)
		if err != nil {
			return nil, &Error{Op: command, Kind: KindInput, Err: err}
		}
		data, err := next.Encode()
		return data, failed(command, err)
	})
}

func parseKeys(body []byte) (*authenticator.Document, error) {
	if len(body) == 0 {
		return &authenticator.Document{}, nil
	}
	d, err := authenticator.ParseDocument(body)
	if err != nil {
		return nil, &Error{Op: "check " + documentKeys, Kind: KindInput, Err: err}
	}
	return d, nil
}

type keysResult struct {
	Version uint64      `json:"version"`
	Keys    []keyStatus `json:"keys"`
}

type keyStatus struct {
	Customer string `json:"customer"`
	State    string `json:"state"`
	Digest   string `json:"digest"`
}

func (r keysResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "keys version %d\n", r.Version)
	for _, k := range r.Keys {
		fmt.Fprintf(&b, "%-16s %-10s %s\n", k.Customer, k.State, k.Digest)
	}
	return b.String()
}

func newKeysList(env Environment, opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the digests of all keys with their customer and state",
		Example: "  fescuethread keys list --platform 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withPlatform(func(s *storer.Client) error {
				o, err := s.Get(cmd.Context(), documentKeys)
				if err != nil {
					return storeError("get keys", err)
				}
				d, err := parseKeys(o.Body)
				if err != nil {
					return err
				}
				result := keysResult{Version: o.Version}
				for _, e := range d.Entries() {
					result.Keys = append(result.Keys, keyStatus{
						Customer: e.Customer, State: string(e.State), Digest: e.Digest.String(),
					})
				}
				return opts.print(env.Out, result)
			})
		},
	}
}
