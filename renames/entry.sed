# After renames/entry.txt was applied: sed -i -E -f renames/entry.sed internal/entry/*.go && gofumpt -w internal/entry
s#^(// )Delivered returns the number#\1DeliveredTokens returns the number#
