"""The sub-packages of a scheduling domain depend only on those below them."""

import pathlib
import re
import unittest

import bulrushhollow_core.domain

LAYERS = ("model", "replica", "fleet", "queueing", "execution", "placement")
"""From the lowest to the highest."""

IMPORT = re.compile(r"from bulrushhollow_core\.domain\.(\w+)")


class LayersTest(unittest.TestCase):
    # Guards against cycles between the sub-packages, and imports that pass over their interfaces.
    def test_modules_import_only_the_interfaces_of_lower_layers(self) -> None:
        [folder] = bulrushhollow_core.domain.__path__
        for rank, layer in enumerate(LAYERS):
            for module in pathlib.Path(folder, layer).glob("*.py"):
                imported = set(IMPORT.findall(module.read_text(encoding="utf-8")))
                with self.subTest(module=f"{layer}.{module.stem}"):
                    self.assertLessEqual(imported, set(LAYERS[: rank + 1]))
                    private = re.findall(
                        rf"from bulrushhollow_core\.domain\.(?!{layer}\b)\w+\._", module.read_text()
                    )
                    self.assertEqual([], private)


if __name__ == "__main__":
    unittest.main()
