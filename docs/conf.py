"""Sphinx settings of the documentation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from docutils import nodes
from sphinx import addnodes
from sphinx.parsers import Parser

if TYPE_CHECKING:
    from sphinx.application import Sphinx

project = 'godwitthread'
html_theme = 'alabaster'
exclude_patterns = ['_build']
source_suffix = {'.md': 'markdown'}
#: Pages in the order of the navigation.
PAGES = [
    'operating/install',
    'operating/upgrade',
    'manifest',
    'operating/configuration-check',
    'operating/limits',
    'operating/security',
    'operating/metrics',
    'operating/exit-statuses',
    'operating/completion',
    'operating/failure-primary-lost',
    'operating/failure-store-down',
    'operating/failure-store-restored',
    'operating/failure-domain-out',
    'operating/failure-domains',
    'operating/failure-key-leaked',
    'operating/failure-rate-too-low',
    'operating/failure-instance-replaced',
    'operating/failure-instance-paused',
    'glossary',
    'events',
    'errors',
    'design',
    'house-style',
]


class MarkdownSource(Parser):
    """Show the source of a Markdown page under its title.

    The pinned packages contain no Markdown parser; once `myst-parser` is pinned,
    it can take the place of this class.
    """

    supported = ('markdown',)

    def parse(self, inputstring: str, document: nodes.document) -> None:
        """Fill the document with the title, the source and, on the index, the other pages."""
        self.setup_parse(inputstring, document)
        title, _, body = inputstring.partition('\n')
        section = nodes.section(ids=['page'], names=['page'])
        section += nodes.title('', title.removeprefix('# '))
        section += nodes.literal_block(body.strip(), body.strip(), language='markdown')
        if document.settings.env.docname == 'index':
            section += _contents()
        document += section
        self.finish_parse()


def setup(app: Sphinx) -> dict[str, Any]:
    """Register the source parser."""
    app.add_source_parser(MarkdownSource)
    return {'parallel_read_safe': True}


def _contents() -> addnodes.toctree:
    return addnodes.toctree(
        parent='index',
        entries=[(None, page) for page in PAGES],
        includefiles=list(PAGES),
        maxdepth=1,
        glob=False,
        hidden=False,
        caption=None,
        includehidden=False,
        numbered=0,
        titlesonly=False,
        rawentries=[],
    )
