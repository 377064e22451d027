"""The dispatch host: executes the effects of the dispatch reducer."""
