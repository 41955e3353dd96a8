# After renames/configuration.txt: sed -i -E -f renames/configuration.sed internal/configuration/manager.go && gofumpt -w internal/configuration internal/node internal/operator
s#^(\t// )Extra are tasks that run while this VM is an acceptor: acceptors are few, and$#\1AcceptorTasks run while this VM is an acceptor: acceptors are few, and#
s#^(\t// )Sources provide the Status records#\1StatusSources provide the Status records#
