"""SharingScopes: which requests may use each other's cached parts (§5.6)."""

from __future__ import annotations

import unittest

from pearhead.config.description import Description, Tenant
from pearhead.config.view import View
from pearhead.router.opaque_request import PromptPart
from pearhead.router.sharing_scope import SharingScopes
from tests.sharing import FixedConfirmation, make_request, make_salt_builder

ONE, TWO, APART = Tenant("one", [], "g"), Tenant("two", [], "g"), Tenant("apart", [])
PARTS = (PromptPart("a1", 800), PromptPart("own", 10))


def make_view(*tenants: Tenant) -> View:
    view = View()
    view.__dict__["description"] = Description(tenants=list(tenants))
    return view


class SharingScopeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.confirmation = FixedConfirmation(confirmed_micros=7)
        self.scopes = SharingScopes(self.confirmation, "node")
        self.view = make_view(ONE, TWO, APART)

    def names(self, scopes: SharingScopes | None = None) -> list[str]:
        scopes = scopes or self.scopes
        tenants = ((ONE, "k1"), (TWO, "k2"), (APART, "k3"), (None, ""))
        return [scopes.scope_of(self.view, tenant, key).name for tenant, key in tenants]

    def test_by_a_confirmed_view_a_group_shares_and_all_others_are_apart(self) -> None:
        one, two, apart, public = self.names()
        self.assertEqual(one, two)
        self.assertEqual(len({one, apart, public}), 3)
        self.assertTrue(self.scopes.scope_of(self.view, ONE, "k1").is_confirmed)

    def test_by_an_unconfirmed_view_only_one_key_at_one_node_since_one_moment_shares(self) -> None:
        confirmed = set(self.names())
        self.confirmation.is_view_current = False
        unconfirmed = self.names()
        self.assertEqual(self.names(), unconfirmed)
        other_node = self.names(SharingScopes(self.confirmation, "other"))
        self.confirmation.confirmed_micros += 1
        later = self.names()
        every_scope = {*confirmed, *unconfirmed, *other_node, *later}
        self.assertEqual(len(every_scope), len(confirmed) + 3 * len(unconfirmed))

    def test_the_owner_of_the_revisions_stays_the_same(self) -> None:
        owner = self.scopes.scope_of(self.view, ONE, "k1").owner
        self.confirmation.is_view_current = False
        self.assertEqual(self.scopes.scope_of(self.view, ONE, "k1").owner, owner)

    def test_unconfirmed_salts_are_counted_and_not_fresh(self) -> None:
        builder = make_salt_builder(self.confirmation)
        request = make_request("k1", PARTS)
        self.assertTrue(builder.salt(self.view, ONE, "l", 1, request).is_fresh)
        self.confirmation.is_view_current = False
        self.assertFalse(builder.salt(self.view, ONE, "l", 1, request).is_fresh)
        self.assertEqual(builder.unconfirmed_count, 1)


if __name__ == "__main__":
    unittest.main()
