# The program also changes comments on fields of the same names in other folders; this puts them back:
# sed -i -E -f renames/entry-back.sed internal/settings/{callers,settings}.go internal/load/report.go
s#^(\t// )BodyTimeout bounds the reading of a body#\1BodyTime bounds the reading of a body#
s#^(\t// )HeaderTimeout bounds the reading of the headers#\1HeaderTime bounds the reading of the headers#
s#^(\t// )WriteTimeout is how long a caller may take none#\1WriteTime is how long a caller may take none#
s#^(\t// )MinStallTimeout is the shortest silence#\1SilenceFloor is the shortest silence#
s#^(\t// )FirstTokenTimeout is the longest time#\1FirstToken is the longest time#
s#^(\t// )FirstTokenTimeout counts from when a request#\1FirstToken counts from when a request#
s#^(\t// )ProbeTimeout is how long a stage of a silent#\1ProbeTime is how long a stage of a silent#
s#^(\t// )MaxStallTimeout is how long a stream may be silent#\1TokenSilence is how long a stream may be silent#
