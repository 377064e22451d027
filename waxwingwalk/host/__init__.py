"""The dispatch host: carries out what the dispatch reducer decides."""
